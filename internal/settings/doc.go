// Package settings holds the JSON settings of an entry host.
//
// Parse accepts exactly the fields listed in docs/settings.md. An unknown,
// repeated, missing or impossible value is refused with *InvalidError, which
// names the field's path, the refused value and what is allowed. The package
// does no I/O: the caller reads the file, and the file named by a deployment
// path.
package settings

// Package settings defines the JSON settings of an entry host.
//
// Parse accepts exactly the fields listed in docs/settings.md. It refuses an
// unknown, repeated, missing or out-of-range value with *InvalidError, which
// names the field's path, the invalid value and what is allowed. The package does
// no I/O: the caller reads the settings file, and the file that a deployment path
// names.
package settings

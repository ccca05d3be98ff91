// Package internal holds the parts of boragelock that are not meant to be
// embedded.
package internal

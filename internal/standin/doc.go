// Package standin simulates the platform: an append-only log, a host list and
// targets. The stand-ins implement the HTTP protocol of docs/platform.md. Tests
// use them in-process as http.Handler values; cmd/boragelock-standin runs them
// as processes.
//
// Each stand-in has switches that inject the failures of the platform. Methods
// set them in-process; the handler that Admin returns sets them over HTTP. It is
// served on its own address so that it works while the stand-in is frozen or
// down.
//
// A target records every run of a request. The benchmark judges from these
// records. The target writes a record to the file before it sends the response,
// so a killed process has recorded every run that it acknowledged.
//
// All exported methods are safe for concurrent use.
package standin

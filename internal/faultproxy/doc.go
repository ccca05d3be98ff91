// Package faultproxy is a TCP proxy that delays, cuts and silences
// connections, for tests and the benchmark.
//
// Faults are set for a class of connections. A classifier names the class of a
// connection from its remote address, so that one proxy in front of a server
// can treat callers of different domains differently. Without a classifier all
// connections have the class "".
//
// Bytes that are held by a cut are delivered when it ends, as TCP would after a
// partition; bytes are never reordered, changed or left out of a stream that
// goes on. A connection that was silenced never carries a byte again.
//
// Proxies are controlled by methods or by the handler that Admin returns. All
// methods are safe for concurrent use.
package faultproxy

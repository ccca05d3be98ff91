// Package faultproxy is a TCP proxy that delays, cuts and silences
// connections, for tests and the benchmark.
//
// Faults apply to a class of connections. A classifier derives the class from
// the remote address of a connection, so that one proxy in front of a server
// can treat callers of different failure domains differently. Without a
// classifier all connections have the class "".
//
// A cut buffers bytes; the proxy delivers them when the cut ends, as TCP does
// after a partition. The proxy never reorders, changes or drops bytes of a
// stream that continues. A silenced connection never carries a byte again.
//
// Methods or the handler that Admin returns control a proxy. All methods are
// safe for concurrent use.
package faultproxy

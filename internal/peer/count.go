package peer

import (
	"expvar"
	"net"
)

// Bytes and calls of control traffic.
var (
	bytesIn  = expvar.NewInt("peer_received_bytes")
	bytesOut = expvar.NewInt("peer_sent_bytes")
	calls    = expvar.NewMap("peer_calls_count")
	failures = expvar.NewMap("peer_failures_count")
)

// countedConn adds the bytes of a connection to the metrics.
type countedConn struct{ net.Conn }

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	bytesIn.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	bytesOut.Add(int64(n))
	return n, err
}

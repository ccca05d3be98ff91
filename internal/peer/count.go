package peer

import (
	"expvar"
	"net"
)

// Metrics of control traffic: bytes, calls and failed calls.
var (
	receivedBytes = expvar.NewInt("peer_received_bytes")
	sentBytes     = expvar.NewInt("peer_sent_bytes")
	callCounts    = expvar.NewMap("peer_calls_count")
	failureCounts = expvar.NewMap("peer_failures_count")
)

// countedConn adds the bytes of a connection to the metrics.
type countedConn struct{ net.Conn }

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	receivedBytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	sentBytes.Add(int64(n))
	return n, err
}

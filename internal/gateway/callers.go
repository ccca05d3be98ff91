package gateway

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/listener"
)

// fullRetryAfter is the time after which a caller that was refused for lack of
// connections is told to come back.
const fullRetryAfter = time.Second

// callerSet holds the callers' connections without a pending request, and since when.
type callerSet struct {
	mu   sync.Mutex
	idle map[*callerConn]time.Duration
}

func (s *callerSet) setIdle(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle == nil {
		s.idle = map[*callerConn]time.Duration{}
	}
	s.idle[c] = boottime.Now()
}

func (s *callerSet) remove(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.idle, c)
}

// takeOldest removes and returns the connection that is idle for longest, or nil.
func (s *callerSet) takeOldest() *callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var oldest *callerConn
	for c, since := range s.idle {
		if oldest == nil || since < s.idle[oldest] {
			oldest = c
		}
	}
	delete(s.idle, oldest)
	return oldest
}

// makeRoom reports whether a new connection may be served. At the bound it closes the one
// that is idle for longest.
func (g *Gateway) makeRoom() bool {
	if g.cfg.MaxCallers <= 0 || g.openConns.Load() < int64(g.cfg.MaxCallers) {
		return true
	}
	for c := g.callers.takeOldest(); c != nil; c = g.callers.takeOldest() {
		if c.closeIfIdle() {
			g.metrics.closes.Add("made_room", 1)
			return true
		}
	}
	return false
}

// closeIfIdle ends the connection unless a request is pending, and reports whether it did.
func (c *callerConn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 || c.closing {
		return false
	}
	c.closing, c.lastWritten = true, true
	if c.nc.SetReadDeadline(time.Now()) != nil {
		_ = c.nc.Close() // ends readLoop too
	}
	return true
}

// refuseConnection tells a caller to come back before its request is read.
func (g *Gateway) refuseConnection(nc net.Conn) {
	g.metrics.closes.Add("refused_full", 1)
	body := string(CodeFull)
	text := "HTTP/1.1 " + strconv.Itoa(http.StatusServiceUnavailable) + " " + http.StatusText(http.StatusServiceUnavailable) +
		"\r\nRetry-After: " + strconv.Itoa(int(fullRetryAfter.Seconds())) +
		"\r\nContent-Type: text/plain\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\nConnection: close\r\n\r\n" + body
	if nc.SetWriteDeadline(time.Now().Add(callerWriteTimeout)) == nil {
		_, _ = nc.Write([]byte(text)) // the connection ends in any case
	}
	listener.LingeringClose(nc)
}

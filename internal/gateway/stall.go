package gateway

import (
	"errors"
	"hash/maphash"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/boragelock/boragelock/internal/boottime"
)

// writePoll is the interval at which a write that waits for the caller is checked for
// progress.
const writePoll = 250 * time.Millisecond

// writeAll writes all parts of a response. It fails with a timeout when the caller takes
// nothing for writeStall, or for callerWriteTimeout while memory is short.
func (c *callerConn) writeAll(parts ...[]byte) error {
	left := net.Buffers(parts)
	progress, queued := boottime.Now(), -1
	slow := int64(0)
	defer func() { c.g.slowMemory.Add(-slow) }()
	for {
		if err := c.nc.SetWriteDeadline(time.Now().Add(writePoll)); err != nil {
			return err
		}
		n, err := left.WriteTo(c.nc)
		var ne net.Error
		if err == nil || !errors.As(err, &ne) || !ne.Timeout() {
			return err
		}
		held := c.memory.held.Load()
		c.g.slowMemory.Add(held - slow)
		slow = held
		now, q := boottime.Now(), unacknowledged(c.nc)
		if n > 0 || q < queued {
			progress = now
		}
		queued = q
		limit := c.g.writeStall
		if c.g.responseMemory.short() {
			limit = min(limit, callerWriteTimeout)
		}
		if now-progress >= limit {
			c.g.metrics.sends.Add("stalled", 1)
			return err
		}
	}
}

// callerWriter writes parts of a response to the caller.
type callerWriter struct{ c *callerConn }

// Write implements io.Writer.
func (w callerWriter) Write(p []byte) (int, error) {
	if err := w.c.writeAll(p); err != nil {
		return 0, err
	}
	return len(p), nil
}

// control calls f with the file descriptor of a connection that has one.
func control(nc net.Conn, f func(fd int) error) error {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = f(int(fd)) }); err != nil {
		return err
	}
	return failed
}

// unacknowledged returns the number of bytes that the peer's kernel has not acknowledged, 0
// if it is not known.
func unacknowledged(nc net.Conn) (n int) {
	_ = control(nc, func(fd int) (err error) { // a connection that ended makes no progress
		n, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err
	})
	return n
}

// limitUnsent bounds what the kernel takes of a response before the caller has room.
func limitUnsent(nc net.Conn) error {
	return control(nc, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes)
	})
}

// Bounds of what is remembered of the sizes of responses.
const (
	// rememberedSizes is the number of paths; two that share an entry replace each other.
	rememberedSizes = 1024
	// sizeAge is the time after which a size is forgotten, since a path that is refused shows
	// no newer one.
	sizeAge = 30 * time.Second
)

// responseSizes remembers which paths had a large response lately. A mean over a route would
// refuse its small responses with the large ones.
type responseSizes struct {
	mu    sync.Mutex
	paths [rememberedSizes]struct {
		hash  uint64
		large time.Duration // when the response was large, or 0
	}
}

// pathHash identifies a route and path.
func pathHash(route, path string) uint64 {
	return maphash.String(idHashSeed, route) ^ maphash.String(idHashSeed, "/"+path)
}

// record remembers the size of a response, in bytes.
func (s *responseSizes) record(now time.Duration, hash uint64, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := &s.paths[hash%rememberedSizes]
	switch {
	case bytes > smallResponseBytes:
		x.hash, x.large = hash, now
	case x.hash == hash:
		x.large = 0
	}
}

// large reports whether the newest response to a path was large.
func (s *responseSizes) large(now time.Duration, hash uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.paths[hash%rememberedSizes]
	return x.hash == hash && x.large > 0 && now-x.large < sizeAge
}

// maxSlowShare is the part of the memory of responses that may wait for slow callers before
// requests for large responses are refused.
const maxSlowShare = 1.0 / 4

// lacksMemoryFor reports whether the response would find no room, since it is large and
// callers that read slowly hold the memory. The target might cut it off before its caller has
// read it.
func (g *Gateway) lacksMemoryFor(now time.Duration, hash uint64) bool {
	return g.responseMemory.short() && float64(g.slowMemory.Load()) > maxSlowShare*float64(g.responseMemory.total) && g.responseSizes.large(now, hash)
}

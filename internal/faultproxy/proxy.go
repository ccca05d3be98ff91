package faultproxy

import (
	"bytes"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/thejerf/suture/v4"
)

const (
	// chunkBytes limits the size of one read.
	chunkBytes = 16 << 10
	// maxQueuedChunks limits the buffer of each direction of a connection to
	// 256 KiB. When it is full, the proxy stops reading from the sender, as with
	// a full TCP window.
	maxQueuedChunks = 16
	// dialTimeout limits the connection setup to the server.
	dialTimeout = 2 * time.Second
)

type direction int

const (
	up direction = iota
	down
)

// Options describe a proxy.
type Options struct {
	// Listen is the address to listen on. Default 127.0.0.1:0.
	Listen string
	// Upstream is the address of the server.
	Upstream string
	// Classify returns the class of a connection from its remote address.
	Classify func(remote net.Addr) string
	// ProvisionalClass returns the class of a connection until Classify, which may
	// take long, has returned. While ok is false, connections wait for Classify.
	ProvisionalClass func() (class string, ok bool)
	// DropOnReset drops the bytes buffered for the other side when one side resets
	// its connection, as a kernel drops unsent bytes of a connection that it resets.
	DropOnReset bool
}

// Proxy forwards TCP connections to one server.
type Proxy struct {
	opts   Options
	ln     net.Listener
	faults *faultTable

	bytesDelivered atomic.Int64

	mu    sync.Mutex
	pairs map[*connPair]struct{}
	// refusing is set while the listener is closed to refuse new connections. releasePort
	// then ends the reservation of its port.
	refusing    bool
	releasePort func() error
	reopened    chan struct{}
	stopped     bool
	wg          sync.WaitGroup
}

// New opens the listener of a proxy. Serve accepts the connections.
func New(o Options) (*Proxy, error) {
	if o.Listen == "" {
		o.Listen = "127.0.0.1:0"
	}
	ln, err := listen(o.Listen)
	if err != nil {
		return nil, err
	}
	o.Listen = ln.Addr().String()
	return &Proxy{opts: o, ln: ln, faults: newTable(), pairs: map[*connPair]struct{}{}, reopened: make(chan struct{}, 1)}, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.opts.Listen }

// BytesDelivered returns the number of bytes delivered in both directions.
func (p *Proxy) BytesDelivered() int64 { return p.bytesDelivered.Load() }

// RefuseConnections closes the listener, or reopens it when refuse is false. While
// the listener is closed, the kernel refuses new connections as if no server ran
// on the host. Existing connections stay open.
func (p *Proxy) RefuseConnections(refuse bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped || p.refusing == refuse {
		return nil
	}
	if refuse {
		release, err := reservePort(p.ln.Addr())
		if err != nil {
			return err
		}
		p.refusing, p.releasePort = true, release
		return p.ln.Close()
	}
	ln, err := listen(p.opts.Listen)
	if err != nil {
		return err
	}
	p.ln, p.refusing = ln, false
	select {
	case p.reopened <- struct{}{}:
	default:
	}
	return p.releasePort()
}

// String implements fmt.Stringer.
func (p *Proxy) String() string { return "faultproxy " + p.Addr() + " to " + p.opts.Upstream }

// Faults returns the faults of a class.
func (p *Proxy) Faults(class string) Faults {
	f, _ := p.faults.get(class)
	return f
}

// SetFaults sets the faults of a class. They apply to existing connections at
// once.
func (p *Proxy) SetFaults(class string, f Faults) {
	p.faults.set(class, f)
	if f.Cut != CutReset {
		return
	}
	for _, c := range p.matchingPairs(func(c *connPair) bool { return p.Faults(c.className()).Cut == CutReset }) {
		c.close()
	}
}

// Silence permanently stops the existing connections of the classes, or of all
// without arguments, from carrying bytes, and returns their number. They stay
// open.
func (p *Proxy) Silence(classes ...string) int {
	found := p.matchingPairs(func(c *connPair) bool { return len(classes) == 0 || slices.Contains(classes, c.className()) })
	for _, c := range found {
		c.silence()
	}
	return len(found)
}

// Connections returns the number of open connections.
func (p *Proxy) Connections() int { return len(p.matchingPairs(func(*connPair) bool { return true })) }

func (p *Proxy) matchingPairs(match func(*connPair) bool) []*connPair {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*connPair
	for c := range p.pairs {
		if match(c) {
			out = append(out, c)
		}
	}
	return out
}

// Serve implements suture.Service. It closes all connections before it returns.
func (p *Proxy) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, p.stop)
	defer stop()
	for {
		ln := p.listener()
		if c, err := ln.Accept(); err == nil {
			p.wg.Go(func() { p.handle(c) })
			continue
		}
		if ctx.Err() == nil && p.listener() == ln {
			select {
			case <-p.reopened:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			p.closeAll()
			return suture.ErrDoNotRestart
		}
	}
}

func (p *Proxy) listener() net.Listener {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ln
}

func (p *Proxy) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	_ = p.ln.Close()
	if p.refusing {
		_ = p.releasePort()
	}
}

func (p *Proxy) closeAll() {
	for _, c := range p.matchingPairs(func(*connPair) bool { return true }) {
		c.close()
	}
	p.wg.Wait()
}

func (p *Proxy) handle(client net.Conn) {
	c := &connPair{p: p, client: client, opened: time.Now(), closed: make(chan struct{})}
	p.classify(c)
	if p.Faults(c.className()).Cut == CutReset {
		reset(client)
		return
	}
	server, err := net.DialTimeout("tcp", p.opts.Upstream, dialTimeout)
	if err != nil {
		reset(client)
		return
	}
	c.server = server
	if !p.add(c) {
		c.close()
		return
	}
	defer p.remove(c)
	var pumps sync.WaitGroup
	pumps.Go(func() { c.pump(up, client, server) })
	pumps.Go(func() { c.pump(down, server, client) })
	pumps.Wait()
	c.close()
}

// classify sets the class of a connection, or a provisional class until Classify
// returns.
func (p *Proxy) classify(c *connPair) {
	if p.opts.Classify == nil {
		return
	}
	if p.opts.ProvisionalClass != nil {
		if class, ok := p.opts.ProvisionalClass(); ok {
			c.setClass(class)
			p.wg.Go(func() { c.setClass(p.opts.Classify(c.client.RemoteAddr())) })
			return
		}
	}
	c.setClass(p.opts.Classify(c.client.RemoteAddr()))
}

func (p *Proxy) add(c *connPair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return false
	}
	p.pairs[c] = struct{}{}
	return true
}

func (p *Proxy) remove(c *connPair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, c)
}

// reset closes a connection with RST, so that the peer gets an error instead of
// the end of the stream.
func reset(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}

// connPair is a connection of a client and the matching connection to the server.
type connPair struct {
	p              *Proxy
	class          atomic.Pointer[string]
	client, server net.Conn
	opened         time.Time
	silenced       atomic.Bool
	once           sync.Once
	closed         chan struct{}
}

func (c *connPair) setClass(class string) { c.class.Store(&class) }

func (c *connPair) className() string {
	if class := c.class.Load(); class != nil {
		return *class
	}
	return ""
}

func (c *connPair) close() {
	c.once.Do(func() {
		close(c.closed)
		reset(c.client)
		reset(c.server)
	})
}

// silence stops both directions before their next write.
func (c *connPair) silence() { c.silenced.Store(true) }

// chunk is a part of a stream and its arrival time.
type chunk struct {
	data      []byte
	arrivedAt time.Time
	// eof marks the end of the stream.
	eof bool
}

func (c *connPair) pump(d direction, from, to net.Conn) {
	queue := make(chan chunk, maxQueuedChunks)
	go c.read(from, queue)
	for {
		select {
		case <-c.closed:
			return
		case x := <-queue:
			if !c.waitUntilDue(d, x.arrivedAt) {
				return
			}
			if x.eof {
				closeWrite(to)
				return
			}
			if d == down && c.p.faults.consumeLoss(c.className()) {
				c.close()
				return
			}
			if _, err := to.Write(x.data); err != nil {
				c.close()
				return
			}
			c.p.bytesDelivered.Add(int64(len(x.data)))
		}
	}
}

func closeWrite(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.CloseWrite()
	}
}

func (c *connPair) read(from net.Conn, queue chan<- chunk) {
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		if c.p.opts.DropOnReset && errors.Is(err, syscall.ECONNRESET) {
			c.close()
			return
		}
		x := chunk{data: bytes.Clone(buf[:n]), arrivedAt: time.Now(), eof: n == 0 && err != nil}
		if n > 0 || err != nil {
			select {
			case queue <- x:
			case <-c.closed:
				return
			}
		}
		if x.eof {
			return
		}
	}
}

// waitUntilDue blocks until a byte that arrived at the given time may be
// delivered. It returns false when the connection was closed.
func (c *connPair) waitUntilDue(d direction, at time.Time) bool {
	for {
		f, changed := c.p.faults.get(c.className())
		if c.silenced.Load() {
			<-c.closed
			return false
		}
		due := at.Add(f.delay(d))
		if first := c.opened.Add(f.ConnectDelay + f.delay(d)); first.After(due) {
			due = first
		}
		var wait <-chan time.Time
		if !f.blocks(d) {
			left := time.Until(due)
			if left <= 0 {
				return true
			}
			wait = time.After(left)
		}
		select {
		case <-wait:
		case <-changed:
		case <-c.closed:
			return false
		}
	}
}

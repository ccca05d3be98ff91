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
	// chunkBytes is the size of one read.
	chunkBytes = 16 << 10
	// queuedChunks limits what a direction of a connection holds: 256 KiB.
	// When it is full the sender is no longer read, as with a full TCP window.
	queuedChunks = 16
	// dialTimeout limits connecting to the server.
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
	// Classify names the class of a connection by its remote address.
	Classify func(remote net.Addr) string
	// ProvisionalClass names the class of a connection until Classify, which may
	// take long, has returned. While ok is false, connections wait for it.
	ProvisionalClass func() (class string, ok bool)
	// DropOnReset drops the bytes held for the other side when one side resets its
	// connection, as the kernel of a host does that resets what it could not send.
	DropOnReset bool
}

// Proxy is one proxy in front of one server.
type Proxy struct {
	opts  Options
	ln    net.Listener
	table *table

	carried atomic.Int64

	mu    sync.Mutex
	pairs map[*pair]struct{}
	// closed is set while new connections are refused.
	closed bool
	reopen chan struct{}
	done   bool
	wg     sync.WaitGroup
}

// New opens the listener of a proxy. Serve must be called to accept.
func New(o Options) (*Proxy, error) {
	if o.Listen == "" {
		o.Listen = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, err
	}
	o.Listen = ln.Addr().String()
	return &Proxy{opts: o, ln: ln, table: newTable(), pairs: map[*pair]struct{}{}, reopen: make(chan struct{}, 1)}, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.opts.Listen }

// BytesDelivered returns the number of bytes delivered in both directions.
func (p *Proxy) BytesDelivered() int64 { return p.carried.Load() }

// RefuseConnections closes the listener, so that new connections are refused as by a host
// without the server, or opens it again. Existing connections stay.
func (p *Proxy) RefuseConnections(refuse bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done || p.closed == refuse {
		return nil
	}
	if refuse {
		p.closed = true
		return p.ln.Close()
	}
	ln, err := net.Listen("tcp", p.opts.Listen)
	if err != nil {
		return err
	}
	p.ln, p.closed = ln, false
	select {
	case p.reopen <- struct{}{}:
	default:
	}
	return nil
}

// String implements fmt.Stringer.
func (p *Proxy) String() string { return "faultproxy " + p.Addr() + " to " + p.opts.Upstream }

// Faults returns the faults of a class.
func (p *Proxy) Faults(class string) Faults {
	f, _ := p.table.get(class)
	return f
}

// SetFaults sets the faults of a class. Existing connections see them at once.
func (p *Proxy) SetFaults(class string, f Faults) {
	p.table.set(class, f)
	if f.Cut != CutReset {
		return
	}
	for _, c := range p.matching(func(c *pair) bool { return p.Faults(c.className()).Cut == CutReset }) {
		c.close()
	}
}

// Silence makes the existing connections of the classes, or of all, stop
// carrying bytes for good, and returns their number. They stay open.
func (p *Proxy) Silence(classes ...string) int {
	found := p.matching(func(c *pair) bool { return len(classes) == 0 || slices.Contains(classes, c.className()) })
	for _, c := range found {
		c.silence()
	}
	return len(found)
}

// Connections returns the number of open connections.
func (p *Proxy) Connections() int { return len(p.matching(func(*pair) bool { return true })) }

func (p *Proxy) matching(match func(*pair) bool) []*pair {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*pair
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
			case <-p.reopen:
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
	p.done = true
	_ = p.ln.Close()
}

func (p *Proxy) closeAll() {
	for _, c := range p.matching(func(*pair) bool { return true }) {
		c.close()
	}
	p.wg.Wait()
}

func (p *Proxy) handle(client net.Conn) {
	c := &pair{p: p, client: client, opened: time.Now(), closed: make(chan struct{})}
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

// classify sets the class of a connection, or a provisional one that is
// replaced later.
func (p *Proxy) classify(c *pair) {
	if p.opts.Classify == nil {
		return
	}
	if p.opts.ProvisionalClass != nil {
		if class, ok := p.opts.ProvisionalClass(); ok {
			c.reclassify(class)
			p.wg.Go(func() { c.reclassify(p.opts.Classify(c.client.RemoteAddr())) })
			return
		}
	}
	c.reclassify(p.opts.Classify(c.client.RemoteAddr()))
}

func (p *Proxy) add(c *pair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done {
		return false
	}
	p.pairs[c] = struct{}{}
	return true
}

func (p *Proxy) remove(c *pair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, c)
}

// reset closes a connection with RST, so that the client sees an error and not
// the end of a stream.
func reset(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}

// pair is a connection of a client and the one to the server.
type pair struct {
	p              *Proxy
	class          atomic.Pointer[string]
	client, server net.Conn
	opened         time.Time
	silent         atomic.Bool
	once           sync.Once
	closed         chan struct{}
}

func (c *pair) reclassify(class string) { c.class.Store(&class) }

func (c *pair) className() string {
	if class := c.class.Load(); class != nil {
		return *class
	}
	return ""
}

func (c *pair) close() {
	c.once.Do(func() {
		close(c.closed)
		reset(c.client)
		reset(c.server)
	})
}

// silence stops both directions. The next check before a write sees it.
func (c *pair) silence() { c.silent.Store(true) }

// chunk is a piece of a stream and the time when it arrived.
type chunk struct {
	data []byte
	at   time.Time
	// eof marks the end of the stream.
	eof bool
}

func (c *pair) pump(d direction, from, to net.Conn) {
	queue := make(chan chunk, queuedChunks)
	go c.read(from, queue)
	for {
		select {
		case <-c.closed:
			return
		case x := <-queue:
			if !c.await(d, x.at) {
				return
			}
			if x.eof {
				closeWrite(to)
				return
			}
			if d == down && c.p.table.takeLoss(c.className()) {
				c.close()
				return
			}
			if _, err := to.Write(x.data); err != nil {
				c.close()
				return
			}
			c.p.carried.Add(int64(len(x.data)))
		}
	}
}

func closeWrite(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.CloseWrite()
	}
}

func (c *pair) read(from net.Conn, queue chan<- chunk) {
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		if c.p.opts.DropOnReset && errors.Is(err, syscall.ECONNRESET) {
			c.close()
			return
		}
		x := chunk{data: bytes.Clone(buf[:n]), at: time.Now(), eof: n == 0 && err != nil}
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

// await blocks until a byte that arrived at the given time may be delivered.
// It returns false when the connection was closed.
func (c *pair) await(d direction, at time.Time) bool {
	for {
		f, changed := c.p.table.get(c.className())
		if c.silent.Load() {
			<-c.closed
			return false
		}
		due := at.Add(f.delay(d))
		if first := c.opened.Add(f.ConnectDelay + f.delay(d)); first.After(due) {
			due = first
		}
		var wait <-chan time.Time
		if !f.holds(d) {
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

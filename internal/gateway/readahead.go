package gateway

import (
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/guard"
)

const (
	// aheadPiece is the size of the reads of a streamed response, in bytes.
	aheadPiece = 32 << 10
	// aheadPoll is the interval at which a reader checks whether there is memory again.
	aheadPoll = 50 * time.Millisecond
	// maxUnreadTime bounds the time that a slow caller adds to the deadline of a target. A
	// target cuts a response off that stays unread for some seconds; its connection must not
	// be held without bound by one that does not.
	maxUnreadTime = time.Minute
)

// errStreamClosed ends the reading of a response that is not forwarded any more.
var errStreamClosed = errors.New("the caller does not get the response any more")

// piece is a part of a body. reserved is the part of the budget that it holds.
type piece struct {
	data     []byte
	reserved int64
}

// readAhead reads the remainder of a streamed response from the target as far as there is
// memory, whatever the speed of the caller. Without memory it holds one piece, beside the one
// that is being written.
type readAhead struct {
	res    *response
	body   io.Reader
	budget *memoryBudget

	mu   sync.Mutex
	next []piece
	// err ended the reading; it is io.EOF after a complete body.
	err error

	// changed says that next or err changed, taken that a piece was taken.
	changed, taken chan struct{}
	closed, done   chan struct{}
	releaseConn    sync.Once
	// unread is the time by which the target's deadline was extended.
	unread time.Duration
}

// startReadAhead starts to read the remainder of a response. It must be closed.
func startReadAhead(res *response) *readAhead {
	a := &readAhead{
		res: res, body: res.unread, budget: res.memory.budget, changed: make(chan struct{}, 1), taken: make(chan struct{}, 1),
		closed: make(chan struct{}), done: make(chan struct{}),
	}
	go func() {
		defer close(a.done)
		if err := guard.Call("read ahead", a.run); err != nil {
			a.end(err)
		}
	}()
	return a
}

// run reads until the body or the connection ends.
func (a *readAhead) run() {
	waitsSince := a.res.unreadSince
	buffer := make([]byte, aheadPiece)
	for {
		reserved, ok := a.awaitRoom()
		if !ok {
			a.end(errStreamClosed)
			return
		}
		a.extendDeadline(boottime.Now() - waitsSince)
		n, err := a.body.Read(buffer)
		waitsSince = boottime.Now()
		if reserved > 0 {
			a.budget.giveBack(reserved - int64(n))
			reserved = int64(n)
		}
		if n > 0 {
			a.mu.Lock()
			a.next = append(a.next, piece{slices.Clone(buffer[:n]), reserved})
			a.mu.Unlock()
			signal(a.changed)
		}
		if err != nil {
			a.end(err)
			return
		}
	}
}

// awaitRoom waits until the next piece may be read, and returns what is reserved for it. It
// returns false when the stream is closed.
func (a *readAhead) awaitRoom() (reserved int64, ok bool) {
	tick := time.NewTicker(aheadPoll)
	defer tick.Stop()
	for {
		a.mu.Lock()
		empty := len(a.next) == 0
		a.mu.Unlock()
		switch {
		case empty:
			return 0, true
		case a.budget.tryReserve(aheadPiece, int64(readAheadShare*float64(a.budget.whole()))):
			return aheadPiece, true
		}
		select {
		case <-a.taken:
		case <-tick.C:
		case <-a.closed:
			return 0, false
		}
	}
}

// extendDeadline gives the target the time in which the host did not read, up to
// maxUnreadTime.
func (a *readAhead) extendDeadline(d time.Duration) {
	if d = min(d, maxUnreadTime-a.unread); d > 0 && a.res.extendDeadline != nil {
		a.unread += d
		a.res.extendDeadline(d)
	}
}

// end records the error that ended the reading, and releases the target's connection.
func (a *readAhead) end(err error) {
	a.release(errors.Is(err, io.EOF))
	a.mu.Lock()
	a.err = err
	a.mu.Unlock()
	signal(a.changed)
}

func (a *readAhead) release(complete bool) {
	a.releaseConn.Do(func() { a.res.releaseConn(complete) })
}

// WriteTo implements io.WriterTo: it writes the body until its end. It fails with the error
// that ended the body before.
func (a *readAhead) WriteTo(w io.Writer) (total int64, err error) {
	for {
		a.mu.Lock()
		pieces, err := a.next, a.err
		a.next = nil
		a.mu.Unlock()
		signal(a.taken)
		for i, p := range pieces {
			n, failed := w.Write(p.data)
			total += int64(n)
			a.budget.giveBack(p.reserved)
			pieces[i] = piece{}
			if failed != nil {
				a.giveBack(pieces)
				return total, failed
			}
		}
		switch {
		case len(pieces) > 0:
		case errors.Is(err, io.EOF):
			return total, nil
		case err != nil:
			return total, err
		default:
			<-a.changed
		}
	}
}

// close ends the reading and returns what is reserved.
func (a *readAhead) close() {
	close(a.closed)
	a.release(false) // no effect after a complete body
	<-a.done
	a.giveBack(a.next)
	a.next = nil
}

func (a *readAhead) giveBack(pieces []piece) {
	for _, p := range pieces {
		a.budget.giveBack(p.reserved)
	}
}

// signal wakes the receiver of a channel of size 1.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

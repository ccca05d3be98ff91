package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/boragelock/boragelock/platform/standin"
)

// request is one request of a caller and its end.
type request struct {
	id     string
	order  bool
	status int // 0 without an answer
}

// ledger keeps the requests of all callers.
type ledger struct {
	mu       sync.Mutex
	requests []request
}

func (l *ledger) add(r request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
}

const (
	// requestLimit is the time limit that callers state.
	requestLimit = 1500 * time.Millisecond
	// answerLimit is when a caller gives a connection up: a host that is paused does
	// not keep the time limit.
	answerLimit = 3 * time.Second
	// refusedPause is the pause after a refusal.
	refusedPause = 50 * time.Millisecond
	// underWay is the age from which a request on a connection that ends was surely
	// taken by the host.
	underWay = 150 * time.Millisecond
)

// call keeps a connection to a host open and sends requests until the process is
// gone, then connects again.
func (w *world) call(ctx context.Context, h *host, name string, rnd *rand.Rand) {
	for n := 0; ctx.Err() == nil; {
		nc, err := net.DialTimeout("tcp", h.callers, time.Second)
		if err != nil {
			every(ctx, 50*time.Millisecond)
			continue
		}
		br := bufio.NewReader(nc)
		for ctx.Err() == nil {
			n++
			if !w.ask(h, nc, br, request{id: fmt.Sprint(name, "-", n), order: rnd.IntN(3) == 0}, rnd.IntN(65536)) {
				break
			}
			every(ctx, time.Duration(rnd.IntN(30))*time.Millisecond)
		}
		_ = nc.Close() // given up
	}
}

// ask sends one request and notes its end. It reports whether the connection goes
// on.
func (w *world) ask(h *host, nc net.Conn, br *bufio.Reader, r request, key int) bool {
	start, _ := h.life()
	method, path := "GET", "/safe/x"
	if r.order {
		method, path = "POST", "/order/x"
	}
	if err := nc.SetDeadline(time.Now().Add(answerLimit)); err != nil {
		return false
	}
	sent := time.Now()
	_, err := fmt.Fprintf(nc, "%s %s HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n%s: %s\r\n%s: %d\r\n%s: %d\r\n\r\n", method, path,
		standin.HeaderRequestID, r.id, standin.HeaderDeadline, requestLimit.Milliseconds(), standin.HeaderKey, key)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(br, &http.Request{Method: method})
	}
	if err == nil {
		r.status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		r.status = 0
		w.lost(h, start, r, time.Since(sent), err)
	}
	w.ledger.add(r)
	if r.status == http.StatusServiceUnavailable {
		time.Sleep(refusedPause)
	}
	return err == nil && !resp.Close
}

// lost checks a request without an answer: a planned stop must not cut it off.
func (w *world) lost(h *host, start int, r request, took time.Duration, err error) {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() || took < underWay {
		return // the host is paused, or had closed the idle connection
	}
	now, planned := h.life()
	if now == start && planned && took < requestLimit {
		w.broken("%s cut off request %s after %v in a planned stop: %v", h.name, r.id, took, err)
	}
}

// checkRequests checks what ran against what callers were told.
func (w *world) checkRequests() (answered int) {
	for _, r := range w.ledger.requests {
		ran := 0
		for _, t := range w.targets {
			ran += t.ran(r.id)
		}
		switch {
		case r.order && ran > 1:
			w.broken("order %s ran %d times", r.id, ran)
		case r.status == http.StatusServiceUnavailable && ran > 0:
			w.broken("request %s was refused and ran", r.id)
		case r.status == http.StatusOK && ran == 0:
			w.broken("request %s was answered and did not run", r.id)
		}
		if r.status == http.StatusOK {
			answered++
		}
	}
	return answered
}

// probe asks a host once on a connection of its own and reports whether it served.
func (w *world) probe(h *host, id string, key int) bool {
	nc, err := net.DialTimeout("tcp", h.callers, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = nc.Close() }() // one request only
	r := request{id: id}
	w.ask(h, nc, bufio.NewReader(nc), r, key)
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	for _, x := range w.ledger.requests {
		if x.id == id {
			return x.status == http.StatusOK
		}
	}
	return false
}

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

// request is one request of a caller and its result.
type request struct {
	id            string
	nonIdempotent bool
	status        int // 0 without a response
}

// ledger records the requests of all callers.
type ledger struct {
	mu       sync.Mutex
	requests []request
	answered int // with 200
}

func (l *ledger) add(r request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
	if r.status == http.StatusOK {
		l.answered++
	}
}

func (l *ledger) answeredCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answered
}

const (
	// requestTimeout is the deadline that callers send with a request.
	requestTimeout = 1500 * time.Millisecond
	// responseTimeout is how long a caller waits for a response before it closes the
	// connection. A paused host exceeds the deadline.
	responseTimeout = 3 * time.Second
	// refusalPause is the pause of a caller after a refusal.
	refusalPause = 50 * time.Millisecond
	// minInFlightAge is the age at which the host has certainly accepted a request. A
	// younger request may have hit an idle connection that the host had closed.
	minInFlightAge = 150 * time.Millisecond
)

// runCaller sends requests over a persistent connection to a host, and reconnects
// when the connection ends.
func (w *testbed) runCaller(ctx context.Context, h *host, name string, rnd *rand.Rand) {
	for n := 0; ctx.Err() == nil; {
		conn, err := net.DialTimeout("tcp", h.callerAddr, time.Second)
		if err != nil {
			sleep(ctx, 50*time.Millisecond)
			continue
		}
		br := bufio.NewReader(conn)
		for ctx.Err() == nil {
			n++
			if !w.sendRequest(h, conn, br, request{id: fmt.Sprint(name, "-", n), nonIdempotent: rnd.IntN(3) == 0}, rnd.IntN(65536)) {
				break
			}
			sleep(ctx, time.Duration(rnd.IntN(30))*time.Millisecond)
		}
		_ = conn.Close() // abandoned
	}
}

// sendRequest sends one request and records its result. It reports whether the
// connection remains usable.
func (w *testbed) sendRequest(h *host, nc net.Conn, br *bufio.Reader, r request, key int) bool {
	path := "/safe/x"
	if r.nonIdempotent {
		path = "/order/x"
	}
	return w.sendTo(h, nc, br, r, path, key)
}

// sendTo is sendRequest for a path.
func (w *testbed) sendTo(h *host, nc net.Conn, br *bufio.Reader, r request, path string, key int) bool {
	start, _ := h.processState()
	method := "GET"
	if r.nonIdempotent {
		method = "POST"
	}
	if err := nc.SetDeadline(time.Now().Add(responseTimeout)); err != nil {
		return false
	}
	sent := time.Now()
	_, err := fmt.Fprintf(nc, "%s %s HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n%s: %s\r\n%s: %d\r\n%s: %d\r\n\r\n", method, path,
		standin.HeaderRequestID, r.id, standin.HeaderDeadline, requestTimeout.Milliseconds(), standin.HeaderKey, key)
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
		w.checkLostResponse(h, start, r, time.Since(sent), err)
	}
	w.ledger.add(r)
	if r.status == http.StatusServiceUnavailable {
		time.Sleep(refusalPause)
	}
	return err == nil && !resp.Close
}

// checkLostResponse checks a request without a response: a planned stop must not
// cut it off.
func (w *testbed) checkLostResponse(h *host, start int, r request, elapsed time.Duration, err error) {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() || elapsed < minInFlightAge {
		return // the host is paused, or had closed the idle connection
	}
	now, planned := h.processState()
	if now == start && planned && elapsed < requestTimeout {
		w.reportViolation("%s cut off request %s after %v in a planned stop: %v", h.name, r.id, elapsed, err)
	}
}

// checkRequests compares the runs at the targets with the responses to callers. It
// returns the number of requests answered with 200.
func (w *testbed) checkRequests() (answered int) {
	for _, r := range w.ledger.requests {
		runs := 0
		for _, t := range w.targets {
			runs += t.runCount(r.id)
		}
		switch {
		case r.nonIdempotent && runs > 1:
			w.reportViolation("non-idempotent request %s ran %d times", r.id, runs)
		case r.status == http.StatusServiceUnavailable && runs > 0:
			w.reportViolation("request %s was refused but ran", r.id)
		case r.status == http.StatusOK && runs == 0:
			w.reportViolation("request %s was answered but did not run", r.id)
		}
		if r.status == http.StatusOK {
			answered++
		}
	}
	return answered
}

// probe sends one request to a host over a new connection and reports whether the
// status is 200.
func (w *testbed) probe(h *host, id string, key int) bool {
	conn, err := net.DialTimeout("tcp", h.callerAddr, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }() // one request only
	r := request{id: id}
	w.sendRequest(h, conn, bufio.NewReader(conn), r, key)
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	for _, x := range w.ledger.requests {
		if x.id == id {
			return x.status == http.StatusOK
		}
	}
	return false
}

//go:build review

package kit

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/boragelock/boragelock/platform/standin"
)

// Answer is what a consumer got for one request: status 0 without an answer.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	Err    error
}

// Consumer sends requests over one kept connection to a host.
type Consumer struct {
	Address string
	// Mbps is the rate at which a body is sent, in megabits per second; 0 means at once.
	Mbps float64

	nc net.Conn
	br *bufio.Reader
}

// Close closes the connection.
func (c *Consumer) Close() {
	if c.nc != nil {
		_ = c.nc.Close()
		c.nc = nil
	}
}

// Do sends one request and waits for its answer until its time limit.
func (c *Consumer) Do(method, host, path, id string, key int, limit time.Duration, body string) Answer {
	if c.nc == nil {
		nc, err := net.DialTimeout("tcp", c.Address, time.Second)
		if err != nil {
			return Answer{Err: err}
		}
		c.nc, c.br = nc, bufio.NewReader(nc)
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, host,
		standin.HeaderRequestID, id, standin.HeaderDeadline, limit.Milliseconds())
	if key >= 0 {
		head += fmt.Sprintf("%s: %d\r\n", standin.HeaderKey, key)
	}
	if method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	fail := func(err error) Answer {
		c.Close()
		return Answer{Err: err}
	}
	if err := c.nc.SetDeadline(time.Now().Add(limit)); err != nil {
		return fail(err)
	}
	if err := c.send(head+"\r\n", body); err != nil {
		return fail(err)
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return fail(err)
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return fail(err)
	}
	if resp.Close {
		c.Close()
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(b)}
}

// Kept reports whether the next request is sent on a connection that was used before.
func (c *Consumer) Kept() bool { return c.nc != nil }

// IsTimeout reports whether an answer did not come within the time limit.
func IsTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// paceBytes is the size of the pieces in which a paced body is sent.
const paceBytes = 64 << 10

// send writes a request, its body at the rate of the consumer.
func (c *Consumer) send(head, body string) error {
	if c.Mbps <= 0 {
		_, err := io.WriteString(c.nc, head+body)
		return err
	}
	if _, err := io.WriteString(c.nc, head); err != nil {
		return err
	}
	start := time.Now()
	for sent := 0; sent < len(body); {
		n := min(paceBytes, len(body)-sent)
		if _, err := io.WriteString(c.nc, body[sent:sent+n]); err != nil {
			return err
		}
		sent += n
		time.Sleep(time.Until(start.Add(time.Duration(float64(sent) * 8 / c.Mbps * float64(time.Microsecond)))))
	}
	return nil
}

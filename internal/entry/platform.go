package entry

import (
	"context"
	"errors"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/boragelock/boragelock/internal/httpplatform"
	"github.com/boragelock/boragelock/provider"
)

// URLError reports that a URL of the platform cannot be used.
type URLError struct {
	URL, Allowed string
}

// Error implements error.
func (e *URLError) Error() string { return "URL " + e.URL + ": allowed: " + e.Allowed }

// parseHostPort returns the host:port of a platform URL. The paths of the
// platform's HTTP API are fixed, so the URL has none.
func parseHostPort(raw string) (string, error) {
	u, err := url.Parse(raw)
	if err != nil || u.Scheme != "http" || u.Port() == "" {
		return "", &URLError{URL: raw, Allowed: "http://HOST:PORT"}
	}
	return u.Host, nil
}

// failoverLog is one log that is reachable at several addresses.
type failoverLog struct {
	logs []provider.Log
	// lastGood is the index of the address that was last available.
	lastGood atomic.Int64
}

func newFailoverLog(urls []string) (*failoverLog, error) {
	l := &failoverLog{}
	for _, u := range urls {
		host, err := parseHostPort(u)
		if err != nil {
			return nil, err
		}
		l.logs = append(l.logs, httpplatform.NewLog(host, httpplatform.Options{}))
	}
	return l, nil
}

// Append implements provider.Log. It tries another address only when the
// operation certainly had no effect.
func (l *failoverLog) Append(ctx context.Context, data []byte) (offset int64, err error) {
	l.tryEach(ctx, func(x provider.Log) error {
		offset, err = x.Append(ctx, data)
		return err
	})
	return offset, err
}

// Read implements provider.Log.
func (l *failoverLog) Read(ctx context.Context, from int64, limit int, wait time.Duration) (b provider.Batch, err error) {
	l.tryEach(ctx, func(x provider.Log) error {
		b, err = x.Read(ctx, from, limit, wait)
		return err
	})
	return b, err
}

// tryEach calls op for each address, beginning with the last good one, until one
// does not fail with provider.CodeUnavailable.
func (l *failoverLog) tryEach(ctx context.Context, op func(provider.Log) error) {
	start := l.lastGood.Load()
	for i := range int64(len(l.logs)) {
		at := (start + i) % int64(len(l.logs))
		var e *provider.Error
		if err := op(l.logs[at]); !errors.As(err, &e) || e.Code != provider.CodeUnavailable || ctx.Err() != nil {
			l.lastGood.Store(at)
			return
		}
	}
}

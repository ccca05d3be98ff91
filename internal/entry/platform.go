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

// URLError says that a URL of the platform cannot be used.
type URLError struct {
	URL, Allowed string
}

// Error implements error.
func (e *URLError) Error() string { return "URL " + e.URL + ": allowed: " + e.Allowed }

// hostOf returns host:port of a platform URL. The paths of the HTTP form are
// fixed, so the URL has none.
func hostOf(raw string) (string, error) {
	u, err := url.Parse(raw)
	if err != nil || u.Scheme != "http" || u.Port() == "" {
		return "", &URLError{URL: raw, Allowed: "http://HOST:PORT"}
	}
	return u.Host, nil
}

// logs is one log that is reachable under several addresses.
type logs struct {
	all []provider.Log
	// at is the address that worked last.
	at atomic.Int64
}

func newLogs(urls []string) (*logs, error) {
	l := &logs{}
	for _, u := range urls {
		host, err := hostOf(u)
		if err != nil {
			return nil, err
		}
		l.all = append(l.all, httpplatform.NewLog(host, httpplatform.Options{}))
	}
	return l, nil
}

// Append implements provider.Log. Another address is tried only when the
// operation certainly had no effect.
func (l *logs) Append(ctx context.Context, data []byte) (offset int64, err error) {
	l.each(ctx, func(x provider.Log) error {
		offset, err = x.Append(ctx, data)
		return err
	})
	return offset, err
}

// Read implements provider.Log.
func (l *logs) Read(ctx context.Context, from int64, limit int, wait time.Duration) (b provider.Batch, err error) {
	l.each(ctx, func(x provider.Log) error {
		b, err = x.Read(ctx, from, limit, wait)
		return err
	})
	return b, err
}

// each tries the addresses, the last good one first, until one does not fail
// as unavailable.
func (l *logs) each(ctx context.Context, op func(provider.Log) error) {
	start := l.at.Load()
	for i := range int64(len(l.all)) {
		at := (start + i) % int64(len(l.all))
		var e *provider.Error
		if err := op(l.all[at]); !errors.As(err, &e) || e.Code != provider.CodeUnavailable || ctx.Err() != nil {
			l.at.Store(at)
			return
		}
	}
}

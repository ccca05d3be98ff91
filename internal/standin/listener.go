package standin

import (
	"net"
	"net/http"
	"strconv"
	"sync"
)

// Listener limits the open connections to TargetConfig.Connections. It closes
// and records connections above the limit at once.
func (t *Target) Listener(ln net.Listener) net.Listener { return &limitedListener{Listener: ln, t: t} }

type limitedListener struct {
	net.Listener
	t *Target
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.t.admitConn() {
			return &limitedConn{Conn: c, t: l.t}, nil
		}
		_ = c.Close()
	}
}

func (t *Target) admitConn() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.openConns >= t.cfg.Connections {
		t.event(EventConnection)
		return false
	}
	t.openConns++
	return true
}

type limitedConn struct {
	net.Conn
	t    *Target
	once sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() {
		c.t.mu.Lock()
		c.t.openConns--
		c.t.mu.Unlock()
	})
	return c.Conn.Close()
}

// Admin returns the admin handler: GET and POST /admin/switches,
// POST /admin/restart, POST /admin/cool, GET /admin/records?since=SEQ and
// GET /admin/connections.
func (t *Target) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/admin/switches", func(w http.ResponseWriter, r *http.Request) {
		serveUpdate(w, r, t.Switches, t.SetSwitches)
	})
	mux.HandleFunc("POST /admin/restart", func(w http.ResponseWriter, _ *http.Request) { t.Restart() })
	mux.HandleFunc("POST /admin/cool", func(w http.ResponseWriter, _ *http.Request) { t.Cool() })
	mux.HandleFunc("GET /admin/records", func(w http.ResponseWriter, r *http.Request) {
		since, err := strconv.ParseInt(orZero(r.FormValue("since")), 10, 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, t.recorder.Since(since))
	})
	mux.HandleFunc("GET /admin/connections", func(w http.ResponseWriter, _ *http.Request) {
		t.mu.Lock()
		defer t.mu.Unlock()
		writeJSON(w, map[string]int{"connections": t.openConns})
	})
	return mux
}

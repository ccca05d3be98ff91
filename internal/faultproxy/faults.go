package faultproxy

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Cut is the kind of partition that a proxy simulates.
type Cut string

// Kinds of partitions.
const (
	CutNone Cut = ""
	// CutReset resets existing connections and new ones at once.
	CutReset Cut = "reset"
	// CutBoth buffers the bytes of both directions.
	CutBoth Cut = "both"
	// CutUp buffers the bytes from the client to the server, CutDown those of
	// the other direction.
	CutUp   Cut = "up"
	CutDown Cut = "down"
)

// Faults are the faults of the connections of one class.
type Faults struct {
	// ConnectDelay delays the first byte of a new connection; UpDelay and
	// DownDelay delay each byte to and from the server. Nanoseconds in JSON.
	ConnectDelay time.Duration `json:"connect_delay,omitempty"`
	UpDelay      time.Duration `json:"up_delay,omitempty"`
	DownDelay    time.Duration `json:"down_delay,omitempty"`
	Cut          Cut           `json:"cut,omitempty"`
	// LoseAnswers is the number of responses still to be lost; -1 means all.
	// The proxy closes the connection when bytes arrive from the server, which
	// has executed the request by then.
	LoseAnswers int `json:"lose_answers,omitempty"`
}

func (f Faults) delay(d direction) time.Duration {
	if d == up {
		return f.UpDelay
	}
	return f.DownDelay
}

func (f Faults) blocks(d direction) bool {
	return f.Cut == CutBoth || (d == up && f.Cut == CutUp) || (d == down && f.Cut == CutDown)
}

// faultTable stores the faults of all classes.
type faultTable struct {
	mu      sync.Mutex
	classes map[string]Faults
	changed chan struct{}
}

func newTable() *faultTable {
	return &faultTable{classes: map[string]Faults{}, changed: make(chan struct{})}
}

// get returns the faults of a class and a channel that is closed when the faults
// of any class change. A class without an entry has the faults of "".
func (t *faultTable) get(class string) (Faults, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, ok := t.classes[class]
	if !ok {
		f = t.classes[""]
	}
	return f, t.changed
}

func (t *faultTable) set(class string, f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.classes[class] = f
	close(t.changed)
	t.changed = make(chan struct{})
}

// consumeLoss reports whether the current response is to be lost, and counts the
// loss.
func (t *faultTable) consumeLoss(class string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.classes[class]; !ok {
		class = ""
	}
	f := t.classes[class]
	if f.LoseAnswers == 0 {
		return false
	}
	if f.LoseAnswers > 0 {
		f.LoseAnswers--
		t.classes[class] = f
	}
	return true
}

// Admin returns the admin handler: GET and POST /admin/faults?class=C, POST
// /admin/silence?class=C (all classes without the parameter) and GET
// /admin/connections.
func (p *Proxy) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/admin/faults", func(w http.ResponseWriter, r *http.Request) {
		class := r.FormValue("class")
		if r.Method == http.MethodPost {
			f := p.Faults(class)
			if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			p.SetFaults(class, f)
		}
		_ = json.NewEncoder(w).Encode(p.Faults(class))
	})
	mux.HandleFunc("POST /admin/silence", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		_ = json.NewEncoder(w).Encode(map[string]int{"silenced": p.Silence(q["class"]...)})
	})
	mux.HandleFunc("GET /admin/connections", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]int{"connections": p.Connections()})
	})
	return mux
}

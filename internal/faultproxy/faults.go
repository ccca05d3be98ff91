package faultproxy

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Cut is the way in which a link is cut.
type Cut string

// Ways of cutting a link.
const (
	CutNone Cut = ""
	// CutReset closes existing connections and new ones at once.
	CutReset Cut = "reset"
	// CutBoth holds the bytes of both directions.
	CutBoth Cut = "both"
	// CutUp holds the bytes from the client to the server, CutDown those of
	// the other direction.
	CutUp   Cut = "up"
	CutDown Cut = "down"
)

// Faults are the properties of the connections of one class.
type Faults struct {
	// ConnectDelay is added before the first byte of a new connection,
	// UpDelay and DownDelay to each byte to and from the server; nanoseconds
	// in JSON.
	ConnectDelay time.Duration `json:"connect_delay,omitempty"`
	UpDelay      time.Duration `json:"up_delay,omitempty"`
	DownDelay    time.Duration `json:"down_delay,omitempty"`
	Cut          Cut           `json:"cut,omitempty"`
	// LoseAnswers closes connections when the next bytes come back from the
	// server, after it has acted: this many times, -1 for always.
	LoseAnswers int `json:"lose_answers,omitempty"`
}

func (f Faults) delay(d direction) time.Duration {
	if d == up {
		return f.UpDelay
	}
	return f.DownDelay
}

func (f Faults) holds(d direction) bool {
	return f.Cut == CutBoth || (d == up && f.Cut == CutUp) || (d == down && f.Cut == CutDown)
}

// table holds the faults of all classes.
type table struct {
	mu      sync.Mutex
	classes map[string]Faults
	changed chan struct{}
}

func newTable() *table {
	return &table{classes: map[string]Faults{}, changed: make(chan struct{})}
}

// get returns the faults of a class and a channel that is closed when any
// change. A class without faults of its own has those of "".
func (t *table) get(class string) (Faults, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, ok := t.classes[class]
	if !ok {
		f = t.classes[""]
	}
	return f, t.changed
}

func (t *table) set(class string, f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.classes[class] = f
	close(t.changed)
	t.changed = make(chan struct{})
}

// takeLoss reports whether the present answer is to be lost.
func (t *table) takeLoss(class string) bool {
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

// Admin returns the handler: GET and POST /admin/faults?class=C, POST
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

package standin

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/httpplatform"
	"github.com/boragelock/boragelock/provider"
)

// HostGone removes a host from the list when it is set as its state.
const HostGone provider.HostState = "gone"

// HostSwitches make a list of hosts fail.
type HostSwitches struct {
	// LagMS is how long a change takes to become visible, in milliseconds.
	LagMS int64 `json:"lag_ms"`
	Down  Down  `json:"down"`
}

type hostChange struct {
	at   time.Duration
	host provider.Host
}

// Hosts is a stand-in for the platform's list of hosts.
type Hosts struct {
	mu       sync.Mutex
	visible  map[string]provider.Host
	pending  []hostChange
	switches HostSwitches
}

// NewHosts returns a list that shows the given hosts at once.
func NewHosts(lag time.Duration, hosts ...provider.Host) *Hosts {
	h := &Hosts{visible: map[string]provider.Host{}, switches: HostSwitches{LagMS: lag.Milliseconds()}}
	for _, x := range hosts {
		h.visible[x.Name] = x
	}
	return h
}

// Set changes one host. It becomes visible after the lag.
func (h *Hosts) Set(host provider.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	lag := time.Duration(h.switches.LagMS) * time.Millisecond
	h.pending = append(h.pending, hostChange{at: boottime.Now() + lag, host: host})
}

// List returns the hosts as the list shows them now, by name.
func (h *Hosts) List() []provider.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := boottime.Now()
	for len(h.pending) > 0 && h.pending[0].at <= now {
		x := h.pending[0].host
		h.pending = h.pending[1:]
		if x.State == HostGone {
			delete(h.visible, x.Name)
			continue
		}
		h.visible[x.Name] = x
	}
	out := make([]provider.Host, 0, len(h.visible))
	for _, x := range h.visible {
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b provider.Host) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Switches returns the switches in force.
func (h *Hosts) Switches() HostSwitches {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.switches
}

// SetSwitches sets the switches.
func (h *Hosts) SetSwitches(s HostSwitches) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.switches = s
}

// ServeHTTP implements http.Handler.
func (h *Hosts) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch h.Switches().Down {
	case DownRefuse:
		refuse(w, http.StatusServiceUnavailable, "down")
	case DownCut:
		cutConnection(w)
	case DownSilent:
		<-r.Context().Done()
	default:
		if r.URL.Path != httpplatform.PathHosts {
			http.NotFound(w, r)
			return
		}
		writeJSON(w, httpplatform.HostsResponse{Hosts: h.List()})
	}
}

// Admin returns the handler of the switches: GET and POST /admin/switches, and
// POST /admin/host with a provider.Host whose state may be "gone".
func (h *Hosts) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/admin/switches", func(w http.ResponseWriter, r *http.Request) {
		update(w, r, h.Switches, h.SetSwitches)
	})
	mux.HandleFunc("POST /admin/host", func(w http.ResponseWriter, r *http.Request) {
		var x provider.Host
		update(w, r, func() provider.Host { return x }, func(v provider.Host) { x = v; h.Set(v) })
	})
	return mux
}

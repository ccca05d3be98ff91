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

// HostGone is the state that removes a host from the list.
const HostGone provider.HostState = "gone"

// HostSwitches inject failures into a host list.
type HostSwitches struct {
	// LagMS delays the visibility of a change, in milliseconds.
	LagMS int64 `json:"lag_ms"`
	Down  Down  `json:"down"`
}

type hostChange struct {
	visibleAt time.Duration
	host      provider.Host
}

// Hosts is a stand-in for the platform's host list.
type Hosts struct {
	mu       sync.Mutex
	visible  map[string]provider.Host
	pending  []hostChange
	switches HostSwitches
}

// NewHosts returns a host list that initially contains the given hosts. Later
// changes become visible after the lag.
func NewHosts(lag time.Duration, hosts ...provider.Host) *Hosts {
	h := &Hosts{visible: map[string]provider.Host{}, switches: HostSwitches{LagMS: lag.Milliseconds()}}
	for _, x := range hosts {
		h.visible[x.Name] = x
	}
	return h
}

// Set adds, changes or removes one host. The change becomes visible after the lag.
func (h *Hosts) Set(host provider.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	lag := time.Duration(h.switches.LagMS) * time.Millisecond
	h.pending = append(h.pending, hostChange{visibleAt: boottime.Now() + lag, host: host})
}

// List returns the currently visible hosts, sorted by name.
func (h *Hosts) List() []provider.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := boottime.Now()
	for len(h.pending) > 0 && h.pending[0].visibleAt <= now {
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

// Switches returns the current switches.
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

// Admin returns the admin handler: GET and POST /admin/switches, and POST
// /admin/host with a provider.Host whose state may be "gone".
func (h *Hosts) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/admin/switches", func(w http.ResponseWriter, r *http.Request) {
		serveUpdate(w, r, h.Switches, h.SetSwitches)
	})
	mux.HandleFunc("POST /admin/host", func(w http.ResponseWriter, r *http.Request) {
		var x provider.Host
		serveUpdate(w, r, func() provider.Host { return x }, func(v provider.Host) { x = v; h.Set(v) })
	})
	return mux
}

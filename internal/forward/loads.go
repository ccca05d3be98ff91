package forward

import "github.com/boragelock/boragelock/internal/boottime"

// TargetLoad is the number of this host's requests in progress for a target.
type TargetLoad struct {
	// InFlight requests have been sent to the target; Queued ones wait for a slot.
	InFlight, Queued int
}

// TargetLoads returns the load of each target that this host is the home of, or
// was the home of and still has requests for.
func (s *Server) TargetLoads() map[string]TargetLoad {
	s.homesMu.RLock()
	defer s.homesMu.RUnlock()
	out := map[string]TargetLoad{}
	for target, h := range s.homes {
		out[target] = out[target].addHome(h)
	}
	for target, homes := range s.drainingHomes {
		for _, h := range homes {
			out[target] = out[target].addHome(h)
		}
	}
	return out
}

func (l TargetLoad) addHome(h *home) TargetLoad {
	h.mu.Lock()
	defer h.mu.Unlock()
	st := h.limiter.Stats(boottime.Now())
	return TargetLoad{InFlight: l.InFlight + st.InFlight, Queued: l.Queued + st.Queued}
}

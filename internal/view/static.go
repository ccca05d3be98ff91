package view

import "time"

// Static is a Source with a fixed view, for tests and examples.
type Static struct {
	// V is returned by View.
	V *View
	// PermitFor is returned by Permit.
	PermitFor time.Duration
	// OnEvent receives reports when it is not nil.
	OnEvent func(Event)

	neverClosed chan struct{}
}

// View implements Source.
func (s *Static) View() *View { return s.V }

// Changed implements Source; the channel is never closed.
func (s *Static) Changed() <-chan struct{} { return s.neverClosed }

// Permit implements Source.
func (s *Static) Permit(string) time.Duration { return s.PermitFor }

// Report implements Source.
func (s *Static) Report(e Event) {
	if s.OnEvent != nil {
		s.OnEvent(e)
	}
}

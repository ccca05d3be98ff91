package lease

import (
	"time"

	"github.com/boragelock/boragelock/journal"
)

// Granter is the core for one domain on one host.
type Granter struct {
	cfg  Config
	self Self
}

// New returns a Granter that may renew nothing until it has been given a state
// that lists it and a complete log read.
func New(cfg Config, self Self) *Granter { return &Granter{cfg: cfg, self: self} }

// Step takes an event and returns what to do.
func (g *Granter) Step(now time.Duration, ev Event) []Action { return nil }

// MayRenew reports whether a grant may be written now. A grant is refused when
// the authority has ended, or what the target should hold has changed, since
// Step returned it.
func (g *Granter) MayRenew(now time.Duration, s SendGrant) bool { return false }

// Consent answers lease.consent.
func (g *Granter) Consent(now time.Duration, r ConsentRequest) ConsentAnswer { return ConsentAnswer{} }

// Back handles lease.back; its arrival is reported to the sender as BackAnswered.
func (g *Granter) Back(now time.Duration, n BackNotice) {}

// StopRenew answers lease.stop_renew. It returns false when this granter has
// no state yet and can promise nothing.
func (g *Granter) StopRenew(now time.Duration, r StopRequest) (StopAnswer, bool) {
	return StopAnswer{}, false
}

// Permit answers a home that wants to send to a target that does not check
// fences.
func (g *Granter) Permit(now time.Duration, r PermitRequest) PermitAnswer { return PermitAnswer{} }

// Bound returns when the lease that this granter last gave to a target ends at
// the latest; 0 when it gave none.
func (g *Granter) Bound(target string) time.Duration { return 0 }

// Renewed returns the age of this granter's last accepted renewal of each
// target, for PeerSeen.Renewed on other hosts. Ages of FollowAfter and more
// are left out.
func (g *Granter) Renewed(now time.Duration) map[string]time.Duration { return nil }

// Retired returns the retiring granters whose authority and leases have
// ended, so that the next granters record may leave them out.
func (g *Granter) Retired(now time.Duration) []journal.Member { return nil }

// Status returns a summary.
func (g *Granter) Status(now time.Duration) Status { return Status{} }

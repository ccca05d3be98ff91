package lease

import (
	"time"

	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/ownership"
	"github.com/boragelock/boragelock/provider"
)

// Event is an input of Step.
type Event interface{ event() }

type (
	// Tick reports that time has passed.
	Tick struct{}

	// StatePublished passes the state in force on this host. The state must not be
	// modified afterwards. One with a lower Next than the last is ignored.
	StatePublished struct{ State *journal.State }

	// LogRead reports that a read that started at Start reached the end of the log at
	// offset End. It counts once a state with Next >= End has been published. For a
	// read through a peer that reports "started t ago", Start is the time at which
	// the peer was asked minus t*(1+RateBound).
	LogRead struct {
		Start time.Duration
		End   int64
	}

	// GrantAnswer is a target's answer to the SendGrant with the same Seq.
	GrantAnswer struct {
		Target string
		Seq    uint64
		Reply  provider.GrantReply
	}

	// GrantFailed reports that a SendGrant had no answer or was not written.
	GrantFailed struct {
		Target string
		Seq    uint64
	}

	// HelloAnswered is a host's answer to peer.hello. If the hello was sent after the
	// domain's list had been read, an incarnation other than the listed one proves
	// the listed one dead.
	HelloAnswered struct {
		Host, Incarnation string
		// SentAt is when the hello was sent.
		SentAt time.Duration
		// Next is the Next of the host's state.
		Next int64
		// RenewalAges holds, for each target that the peer has renewed within
		// TakeoverAfter, the age of the renewal at the time of the answer.
		RenewalAges map[string]time.Duration
	}

	// ConsentAnswered is the answer to an AskConsent.
	ConsentAnswered struct {
		From   journal.Member
		Answer ConsentAnswer
	}

	// LogRegainedAcked reports that a SendLogRegained arrived.
	LogRegainedAcked struct {
		From journal.Member
		Seq  uint64
	}

	// StopRenewAnswered is the answer to a SendStopRenew that was sent at SentAt.
	StopRenewAnswered struct {
		From   journal.Member
		SentAt time.Duration
		Answer StopRenewAnswer
	}
)

func (Tick) event()              {}
func (StatePublished) event()    {}
func (LogRead) event()           {}
func (GrantAnswer) event()       {}
func (GrantFailed) event()       {}
func (HelloAnswered) event()     {}
func (ConsentAnswered) event()   {}
func (LogRegainedAcked) event()  {}
func (StopRenewAnswered) event() {}

// Action is an output of Step.
type Action interface{ action() }

type (
	// SendGrant sends a grant to a target. Call MayRenew immediately before
	// the write.
	SendGrant struct {
		Target string
		// Seq matches the answer to the grant.
		Seq   uint64
		Grant provider.Grant
	}

	// AskConsent asks another granter of the domain for its consent, by
	// lease.consent.
	AskConsent struct {
		To      journal.Member
		Request ConsentRequest
	}

	// SendLogRegained informs another granter that this one reads the log again, by
	// lease.back.
	SendLogRegained struct {
		To     journal.Member
		Notice LogRegainedNotice
	}

	// SendStopRenew asks another granter to stop renewing a target, by
	// lease.stop_renew.
	SendStopRenew struct {
		To      journal.Member
		Request StopRenewRequest
	}

	// AppendReleased appends a released record. It is repeated every
	// ReleaseRetryAfter until the state shows it; a second copy is harmless.
	AppendReleased struct {
		// Target is the previous owner.
		Target string
		Body   ownership.Released
	}

	// AuthorityChanged reports that the grounds on which this granter may renew
	// changed. It is for logs and metrics.
	AuthorityChanged struct{ From, To Authority }
)

func (SendGrant) action()        {}
func (AskConsent) action()       {}
func (SendLogRegained) action()  {}
func (SendStopRenew) action()    {}
func (AppendReleased) action()   {}
func (AuthorityChanged) action() {}

// ConsentRequest asks for consent to renew without the log.
type ConsentRequest struct {
	Domain string         `json:"domain"`
	From   journal.Member `json:"from"`
	// Seq numbers the sender's periods without the log.
	Seq uint64 `json:"seq"`
	// Next is the Next of the sender's state.
	Next int64 `json:"next"`
}

// ConsentAnswer answers a ConsentRequest.
type ConsentAnswer struct {
	Seq uint64 `json:"seq"`
	// By is the incarnation that answers.
	By      string `json:"by"`
	Granted bool   `json:"granted"`
	// Next is the Next of the answering host's state. When it exceeds that of the
	// asking host, that host should read the missing records from this one and ask
	// again.
	Next int64 `json:"next"`
}

// LogRegainedNotice ends a period without the log.
type LogRegainedNotice struct {
	Domain string         `json:"domain"`
	From   journal.Member `json:"from"`
	// Seq is the last period that has ended.
	Seq uint64 `json:"seq"`
}

// StopRenewRequest asks a granter to stop renewing a target at old versions.
type StopRenewRequest struct {
	Domain string `json:"domain"`
	Target string `json:"target"`
	// Version is the lowest version that may be granted from now on.
	Version uint64 `json:"version"`
}

// StopRenewAnswer answers a StopRenewRequest.
type StopRenewAnswer struct {
	// By is the incarnation that answers.
	By      string `json:"by"`
	Target  string `json:"target"`
	Version uint64 `json:"version"`
	// BoundMS is the time in milliseconds after which no lease or permit that this
	// granter has issued so far is in force, 0 when none is now.
	BoundMS int64 `json:"bound_ms"`
	// Drained says that each home that has not drained Version has no permit from
	// this granter and will get none. Only for targets without fencing.
	Drained bool `json:"drained,omitempty"`
}

// PermitRequest asks for the right to send to a target that does not check
// fences.
type PermitRequest struct {
	Home   string `json:"home"`
	Target string `json:"target"`
	// Version is the target's version in the state by which the home sends requests:
	// the home starts none for shards that moved away from the target by then.
	Version uint64 `json:"version"`
	// Drained is the highest version for which all requests have ended for shards
	// that had moved away from the target by then. Drained <= Version.
	Drained uint64 `json:"drained"`
}

// PermitAnswer answers a PermitRequest.
type PermitAnswer struct {
	// PermitMS counts from the moment at which the home sent its request; 0
	// when there is no permit.
	PermitMS int64 `json:"permit_ms"`
	// Version is the lowest version that a home must have reached to get a permit.
	Version uint64 `json:"version"`
}

// Authority is the grounds on which a granter may renew.
type Authority string

// Authorities.
const (
	// AuthorityNone: it may not renew.
	AuthorityNone Authority = "none"
	// AuthorityLog: its last complete log read is recent enough.
	AuthorityLog Authority = "log"
	// AuthorityConsent: all other granters of the domain consented.
	AuthorityConsent Authority = "consent"
)

// Self identifies the host that a Granter runs on.
type Self struct {
	Host        string
	Incarnation string
	// Domain is the domain whose targets are renewed; for an observer it differs from
	// the host's own.
	Domain string
}

// Status is a summary for logs, metrics and the operator interface.
type Status struct {
	Authority Authority
	// Until is when the authority ends unless it is extended.
	Until time.Duration
	// Rank is the index in the list of granters, -1 for an observer.
	Rank int
	// NotRenewed lists the lost targets, which are not renewed until the shards moved
	// away from them have been released.
	NotRenewed []string
	// WithoutLog lists the other granters that may renew without the log.
	WithoutLog []string
	// ReleaseBlockers lists, for each target with shards that wait for release, the
	// granters whose leases or missing promises delay the proof of the release.
	ReleaseBlockers map[string][]string
}

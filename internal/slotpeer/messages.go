package slotpeer

import (
	"cmp"
	"time"

	"github.com/boragelock/boragelock/placement"
	"github.com/boragelock/boragelock/slots"
)

// RPC methods between hosts. Both are notifications.
const (
	// MethodAsk carries asks, withdrawals and outcomes from a host to a coordinator.
	MethodAsk = "slots.ask"
	// MethodAnswer carries answers from the coordinator.
	MethodAnswer = "slots.answer"
)

// askMessage is a batch of what a host tells a coordinator.
type askMessage struct {
	// Domain is the failure domain of the host.
	Domain string    `json:"d,omitempty"`
	Asks   []wireAsk `json:"a,omitempty"`
	Ends   []wireEnd `json:"e,omitempty"`
	Unsent []uint64  `json:"u,omitempty"`
}

// wireAsk is a slots.Ask. Times are in milliseconds from the arrival of the message, since
// hosts have different clocks; the transit time makes them a few milliseconds too long.
type wireAsk struct {
	ID uint64 `json:"i"`
	// Pool is the pool of a request that any target may serve, Target the owner of the key
	// of another one.
	Pool     string `json:"p,omitempty"`
	Route    string `json:"r"`
	Target   string `json:"t,omitempty"`
	Priority int    `json:"o,omitempty"`
	LeftMS   int64  `json:"l"`
	// ObjectiveMS is the objective, ObjectiveLeftMS what is left of it, negative if it
	// has passed.
	ObjectiveMS     int64    `json:"b,omitempty"`
	ObjectiveLeftMS int64    `json:"m,omitempty"`
	Tried           []string `json:"x,omitempty"`
}

func newWireAsk(now time.Duration, id uint64, pool string, r placement.Request) wireAsk {
	w := wireAsk{
		ID: id, Route: r.Route, Target: r.Target, Priority: r.Priority, LeftMS: (r.Deadline - now).Milliseconds(),
		ObjectiveMS: r.Objective.Milliseconds(), Tried: r.TriedTargets,
	}
	if r.Target == "" {
		w.Pool = pool
	}
	if r.ObjectiveDeadline > 0 {
		w.ObjectiveLeftMS = (r.ObjectiveDeadline - now).Milliseconds()
	}
	return w
}

// Bounds of what another host states. A value beyond them is taken as the bound.
const (
	// maxTime bounds times: the longest pause that a target may ask for.
	maxTime = 5 * time.Minute
	// maxNameBytes bounds the names of pools, routes, targets and domains, in bytes.
	maxNameBytes = 256
	// maxTried bounds the targets that a request has tried.
	maxTried = 64
	// maxPriority bounds priorities on both sides of 0.
	maxPriority = 1000
	// maxLoad bounds each figure of a target's load, maxResponseBytes the size of a response.
	maxLoad          = 1 << 16
	maxResponseBytes = 1 << 30
)

// milliseconds returns a time within maxTime on both sides of 0.
func milliseconds(ms int64) time.Duration {
	return time.Duration(min(max(ms, -maxTime.Milliseconds()), maxTime.Milliseconds())) * time.Millisecond
}

// valid reports whether the names are within their bounds.
func (w *wireAsk) valid() bool {
	if len(w.Tried) > maxTried || max(len(w.Pool), len(w.Route), len(w.Target)) > maxNameBytes {
		return false
	}
	for _, id := range w.Tried {
		if len(id) > maxNameBytes {
			return false
		}
	}
	return true
}

func (w wireAsk) ask(now time.Duration, host, domain string, random float64) slots.Ask {
	r := placement.Request{
		Workload: w.Pool, Route: w.Route, Target: w.Target, Priority: min(max(w.Priority, -maxPriority), maxPriority),
		Deadline: now + milliseconds(w.LeftMS), Objective: max(0, milliseconds(w.ObjectiveMS)), TriedTargets: w.Tried, Random: random,
	}
	if w.Target != "" {
		r.Workload = ""
	}
	if w.ObjectiveMS > 0 {
		r.ObjectiveDeadline = now + milliseconds(w.ObjectiveLeftMS)
	}
	return slots.Ask{Host: host, ID: w.ID, Domain: domain, Request: r}
}

// wireEnd is the outcome of a request.
type wireEnd struct {
	ID         uint64 `json:"i"`
	ResponseUS int64  `json:"s,omitempty"`
	Bytes      int    `json:"n,omitempty"`
	// Load holds the requests running and waiting, the slots and the slowdown in percent.
	Load []int `json:"l,omitempty"`
	// Flags is a set of flag bits.
	Flags   int   `json:"f,omitempty"`
	PauseMS int64 `json:"p,omitempty"`
	// ColdMS is how much longer the target is cold plus one, 0 without a report.
	ColdMS int64 `json:"c,omitempty"`
}

// The bits of wireEnd.Flags.
const (
	flagShed = 1 << iota
	flagReset
	flagFailed
	flagUnreachable
)

func newWireEnd(id uint64, o placement.Outcome) wireEnd {
	w := wireEnd{ID: id, ResponseUS: o.ResponseTime.Microseconds(), Bytes: o.ResponseBytes, PauseMS: o.Pause.Milliseconds()}
	if l := o.Load; l != nil {
		w.Load = []int{l.Running, l.Waiting, l.Slots, int(l.Slowdown * 100)}
	}
	for _, f := range []struct {
		set bool
		bit int
	}{{o.Shed, flagShed}, {o.ConnectionReset, flagReset}, {o.Failed, flagFailed}, {o.Unreachable, flagUnreachable}} {
		if f.set {
			w.Flags |= f.bit
		}
	}
	if o.ColdRemaining >= 0 {
		w.ColdMS = o.ColdRemaining.Milliseconds() + 1
	}
	return w
}

func (w wireEnd) outcome() placement.Outcome {
	o := placement.Outcome{
		ResponseTime:  time.Duration(min(max(w.ResponseUS, 0), maxTime.Microseconds())) * time.Microsecond,
		ResponseBytes: min(max(w.Bytes, 0), maxResponseBytes),
		Shed:          w.Flags&flagShed != 0, ConnectionReset: w.Flags&flagReset != 0, Failed: w.Flags&flagFailed != 0, Unreachable: w.Flags&flagUnreachable != 0,
		Pause: max(0, milliseconds(w.PauseMS)), ColdRemaining: -1,
	}
	if len(w.Load) == 4 {
		figure := func(i, least int) int { return min(max(w.Load[i], least), maxLoad) }
		o.Load = &placement.Load{Running: figure(0, 0), Waiting: figure(1, 0), Slots: figure(2, 0), Slowdown: float64(figure(3, 1)) / 100}
	}
	if w.ColdMS > 0 {
		o.ColdRemaining = milliseconds(w.ColdMS - 1)
	}
	return o
}

// answerMessage is a batch of answers; an empty one is a heartbeat.
type answerMessage struct {
	Answers []wireAnswer `json:"a,omitempty"`
}

// wireAnswer is a slots.Answer: a refusal with a reason, or else a slot of the target that it
// names or, if it names none, of the target that the ask names.
type wireAnswer struct {
	ID           uint64           `json:"i"`
	Target       string           `json:"t,omitempty"`
	Reason       placement.Reason `json:"r,omitempty"`
	RetryAfterMS int64            `json:"b,omitempty"`
}

func newWireAnswer(a slots.Answer) wireAnswer {
	w := wireAnswer{ID: a.ID}
	if !a.Keyed {
		w.Target = a.Decision.Target
	}
	if a.Decision.Action == placement.Refuse {
		w.Reason, w.RetryAfterMS = a.Decision.Reason, a.Decision.RetryAfter.Milliseconds()
	}
	return w
}

// reasonOther stands for a reason that this release does not know. Reasons are names of metrics,
// which another process must not choose.
const reasonOther placement.Reason = "other"

// decision returns the decision on an ask for a slot of a target, or of any if it is empty. A
// slot of another target than the asked one is none: only the owner of a key may get its
// requests.
func (w wireAnswer) decision(asked string) placement.Decision {
	switch w.Reason {
	case "":
		return placement.Decision{Action: placement.Send, Target: cmp.Or(asked, w.Target)}
	case placement.ReasonNoTarget, placement.ReasonDeadline, placement.ReasonObjective, placement.ReasonLimit, placement.ReasonQueueFull:
	default:
		w.Reason = reasonOther
	}
	return placement.Decision{Action: placement.Refuse, Reason: w.Reason, RetryAfter: max(0, milliseconds(w.RetryAfterMS))}
}

package forward

import (
	"expvar"
	"time"
)

// metrics are the counters of a Server. Names end in their unit.
type metrics struct {
	vars *expvar.Map

	requests, answers, requestsHeld, holdsRefused, retries, retriesWithoutBudget, hedges, hedgesWon *expvar.Int
	inFlight, frontUS, homeUS, queueUS                                                              *expvar.Int
	dials, dialsFailed, dialsWaited, connections                                                    *expvar.Int
	replaysPrevented, silentConnections, crossedAnswers, answersAborted                             *expvar.Int
	borrowsFailed                                                                                   *expvar.Int
	// errors counts error responses by code; rerouted counts requests that were
	// routed again, by the code of the reason.
	errors, rerouted *expvar.Map
}

func newMetrics() *metrics {
	m := &metrics{vars: new(expvar.Map).Init()}
	ints := map[string]**expvar.Int{
		"requests_total": &m.requests, "answers_total": &m.answers, "requests_held": &m.requestsHeld,
		"holds_refused_total": &m.holdsRefused, "retries_total": &m.retries,
		"retries_without_budget_total": &m.retriesWithoutBudget, "hedges_total": &m.hedges,
		"hedges_won_total": &m.hedgesWon, "requests_in_flight": &m.inFlight,
		"front_time_us_total": &m.frontUS, "home_time_us_total": &m.homeUS, "queue_time_us_total": &m.queueUS,
		"dials_total": &m.dials, "dials_failed_total": &m.dialsFailed, "dials_waited_total": &m.dialsWaited,
		"connections_open": &m.connections, "replays_prevented_total": &m.replaysPrevented,
		"silent_connections_total": &m.silentConnections, "crossed_answers_total": &m.crossedAnswers,
		"answers_aborted_total": &m.answersAborted, "borrows_failed_total": &m.borrowsFailed,
	}
	for name, p := range ints {
		*p = new(expvar.Int)
		m.vars.Set(name, *p)
	}
	m.errors, m.rerouted = new(expvar.Map).Init(), new(expvar.Map).Init()
	m.vars.Set("errors_total", m.errors)
	m.vars.Set("rerouted_total", m.rerouted)
	return m
}

func addSince(v *expvar.Int, start time.Time) { v.Add(time.Since(start).Microseconds()) }

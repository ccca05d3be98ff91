package forward

import (
	"expvar"
	"time"
)

// metrics are the counters of a Server. Names end in their unit.
type metrics struct {
	all *expvar.Map

	requests, answers, held, holdFull, retries, budgetEmpty, hedges, hedgesWon *expvar.Int
	inFlight, frontUS, homeUS, queueUS                                         *expvar.Int
	dials, dialsFailed, dialsWaited, connections                               *expvar.Int
	replaysPrevented, silent, crossed, aborted                                 *expvar.Int
	borrowsFailed                                                              *expvar.Int
	// errors counts responses by code, refused by code of a contract, routes
	// by reason of routing again.
	errors, rerouted *expvar.Map
}

func newMetrics() *metrics {
	m := &metrics{all: new(expvar.Map).Init()}
	ints := map[string]**expvar.Int{
		"requests_total": &m.requests, "answers_total": &m.answers, "requests_held": &m.held,
		"holds_refused_total": &m.holdFull, "retries_total": &m.retries,
		"retries_without_budget_total": &m.budgetEmpty, "hedges_total": &m.hedges,
		"hedges_won_total": &m.hedgesWon, "requests_in_flight": &m.inFlight,
		"front_time_us_total": &m.frontUS, "home_time_us_total": &m.homeUS, "queue_time_us_total": &m.queueUS,
		"dials_total": &m.dials, "dials_failed_total": &m.dialsFailed, "dials_waited_total": &m.dialsWaited,
		"connections_open": &m.connections, "replays_prevented_total": &m.replaysPrevented,
		"silent_connections_total": &m.silent, "crossed_answers_total": &m.crossed,
		"answers_aborted_total": &m.aborted, "borrows_failed_total": &m.borrowsFailed,
	}
	for name, p := range ints {
		*p = new(expvar.Int)
		m.all.Set(name, *p)
	}
	m.errors, m.rerouted = new(expvar.Map).Init(), new(expvar.Map).Init()
	m.all.Set("errors_total", m.errors)
	m.all.Set("rerouted_total", m.rerouted)
	return m
}

func addSince(v *expvar.Int, start time.Time) { v.Add(time.Since(start).Microseconds()) }

package chuterelay

import "time"

const (
	// minStreamCheck is the least time between two checks of a stream: each is an event of the reducer.
	minStreamCheck = 500 * time.Millisecond
	// eventsPerCheck is the number of events that a stream has at least between two checks unless it is overdue.
	eventsPerCheck = 2
	// minSlowChecks is the number of checks in a row that have to find a stream overdue: one slow period passes.
	minSlowChecks = 2
)

// streamWatch is what the checks of a stream have found.
type streamWatch struct {
	// since is when the last check was, events the number of events by then.
	since  time.Time
	events int
	// heldUp is the time in which the caller had not taken events by then; it says nothing about the upstream.
	heldUp time.Duration
	// slowChecks counts the checks in a row that found the stream overdue, from slowSince on.
	slowChecks int
	slowSince  time.Time
	// logged says that a decision on the stream was logged.
	logged bool
}

// checkStream decides whether a stream that has begun is overdue.
func (st *reduction) checkStream(r request, e AttemptChecked) {
	limit, known := st.overdue.NextEvent(r.overdueKey(), st.now)
	if !known || !r.mayResume() {
		st.putRequest(r)

		return
	}
	w := &r.current.watch.stream
	interval := max(0, st.now.Sub(w.since)-(e.HeldUp-w.heldUp)) / time.Duration(max(1, e.Events-w.events))
	upstream := r.current.upstream.ID
	if interval <= limit.After {
		w.slowChecks = 0
	} else {
		if w.slowChecks == 0 {
			w.slowSince = w.since
		}
		w.slowChecks++
	}
	w.since, w.events, w.heldUp = st.now, e.Events, e.HeldUp
	othersGoOn := st.overdue.OthersGoOn(r.pool, upstream, w.slowSince)
	st.overdue = st.overdue.WithInterval(r.overdueKey(), upstream, interval, st.now)
	left := time.Duration(st.overdue.EventsLeft(r.overdueKey(), e.Events) * float64(interval))
	if w.slowChecks < minSlowChecks || !st.now.Add(left).After(r.Deadline) {
		st.checkAgain(r, checkPeriod(limit))

		return
	}
	view := OverdueView{
		Decision: st.decideOverdue(r, othersGoOn), Stream: true, Expected: limit.Likely, Elapsed: interval, After: limit.After, Quantile: limit.Quantile,
	}
	isNew := !w.logged
	w.logged = true
	st.settleOverdue(r, view, othersGoOn, isNew, checkPeriod(limit))
}

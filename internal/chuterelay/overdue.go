package chuterelay

import (
	"time"

	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteoverdue"
	"azurechute.example/azurechute/internal/chuteroute"
)

// CheckAttempt schedules an AttemptChecked event; it replaces the one scheduled before for the same attempt.
type CheckAttempt struct {
	Handle  uint64
	Attempt uint64
	At      time.Time
}

// AttemptChecked reports that the check of an attempt is due.
type AttemptChecked struct {
	Handle  uint64
	Attempt uint64
	// DueAt is the time for which the check was scheduled.
	DueAt time.Time
	// Events counts the events that the attempt has passed on to the caller. Without any, the attempt is still
	// waiting for the first one.
	Events int
	// HeldUp is for how long events were waiting until the caller took them, since the attempt began.
	HeldUp time.Duration
}

// AbandonSend ends an attempt so that another upstream can take over. If it succeeds, an AttemptEnded event with
// EndOverdue follows; if the attempt has ended by then, or has passed on its first event although Begun is false,
// nothing changes.
type AbandonSend struct {
	Handle  uint64
	Attempt uint64
	// Begun says that the attempt is known to have passed events on.
	Begun bool
}

func (CheckAttempt) relayEffect()  {}
func (AbandonSend) relayEffect()   {}
func (AttemptChecked) relayEvent() {}

// watch is what decides whether a call is overdue; zero in pools where nothing is.
type watch struct {
	// expected is the time until the first event as expected when the call was sent.
	expected time.Duration
	// checkAt is when the next check is due; zero if none is.
	checkAt time.Time
	// overdue says that the call has been recorded as overdue before its first event.
	overdue bool
	// stream is what the checks of a stream that has begun have found.
	stream streamWatch
}

// newWatch returns the watch of a call that is about to be sent.
func (st *reduction) newWatch(r request, c chutefleet.Choice) watch {
	expected, ok := st.fleet.ExpectedFirstEvent(c.ID, c.Tokens, st.now)
	if !ok {
		return watch{}
	}
	w := watch{expected: expected}
	if limit, known := st.overdue.FirstEvent(r.overdueKey(), expected, st.now); known {
		w.checkAt = st.now.Add(limit.SuspectAfter)
	}

	return w
}

// emitCheck schedules the check that the current call's watch asks for.
func (st *reduction) emitCheck(r request) {
	if at := r.current.watch.checkAt; !at.IsZero() {
		st.emit(CheckAttempt{Handle: r.Handle, Attempt: r.current.id, At: at})
	}
}

// checkAgain stores the request and schedules the next check of its current call after d.
func (st *reduction) checkAgain(r request, d time.Duration) {
	r.current.watch.checkAt = st.now.Add(d)
	st.putRequest(r)
	st.emitCheck(r)
}

// watchBegan learns from the first event of the current call, and goes on with checks of its stream.
func (st *reduction) watchBegan(r request) request {
	w := &r.current.watch
	if w.expected <= 0 {
		return r
	}
	st.overdue = st.overdue.WithFirstEvent(r.waitFor(st.now.Sub(r.current.sentAt)), w.overdue, st.now)
	w.checkAt = time.Time{}
	if limit, known := st.overdue.NextEvent(r.overdueKey(), st.now); known && r.mayResume() {
		// The first event has arrived, others may have.
		w.stream = streamWatch{since: st.now, events: 1}
		w.checkAt = st.now.Add(checkPeriod(limit))
		st.emitCheck(r)
	}

	return r
}

// watchEnded learns from the end of the current call.
func (st *reduction) watchEnded(r request, e AttemptEnded) {
	took := st.now.Sub(r.current.sentAt)
	switch {
	case r.current.watch.expected <= 0:
	case e.End == EndOverdue:
		st.watchCancelled(r)
	case e.End != EndAnswered:
	case r.current.began:
		st.overdue = st.overdue.WithStream(r.overdueKey(), e.Events, st.now.Sub(r.current.beganAt), st.now)
	default:
		st.overdue = st.overdue.WithFirstEvent(r.waitFor(took), r.current.watch.overdue, st.now)
	}
}

// watchCancelled learns from a call that ended without a first event.
func (st *reduction) watchCancelled(r request) {
	if r.current.watch.expected > 0 && !r.current.began {
		st.overdue = st.overdue.WithAbandoned(r.waitFor(st.now.Sub(r.current.sentAt)), st.now)
	}
}

func (r request) overdueKey() chuteoverdue.Key {
	return chuteoverdue.Key{Pool: r.pool, Pipeline: r.Pipeline.Name}
}

// waitFor describes that the current call has taken some time until its first event, or without one.
func (r request) waitFor(took time.Duration) chuteoverdue.Wait {
	return chuteoverdue.Wait{
		Key: r.overdueKey(), Upstream: r.current.upstream.ID, SentAt: r.current.sentAt, Expected: r.current.watch.expected, Took: took,
	}
}

// mayResume reports whether another upstream may continue the request's stream.
func (r request) mayResume() bool {
	return r.Pipeline.Streams && r.Pipeline.Repeat == chuteroute.Resumable
}

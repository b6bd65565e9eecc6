package chuterouting

import (
	"time"

	"azurechute.example/azurechute/internal/chuterequest"
)

// WithReport takes in a load report that was true at the given time; one older than the last is dropped.
func (t Table) WithReport(name string, load chuterequest.Load, at time.Time) Table {
	known := t.entry(name)
	if known == nil {
		return t
	}
	incarnation := load.Incarnation
	if incarnation == "" {
		incarnation = known.upstream.Incarnation
	}
	renewed := incarnation != known.upstream.Incarnation
	if renewed && incarnation == known.previous || !renewed && at.Before(known.reportAt) {
		return t
	}
	if load.Leaving {
		t = t.WithLeaving(name, incarnation)
	}
	marked := t.marked(name, incarnation)

	return t.with(name, func(e *entry) {
		if renewed {
			if e.reported {
				e.previous = e.upstream.Incarnation
				e.listedLeaving = false
			}
			e.newIncarnation(incarnation)
		}
		e.reported = true
		e.leaving = marked
		e.report = load
		e.reportAt = at
		e.others = max(0, load.InFlight+load.Queued-e.inFlight)
		e.lastAnswer = later(e.lastAnswer, at)
	})
}

// WithDispatched counts one more call of this node to the upstream.
func (t Table) WithDispatched(name string, now time.Time) Table {
	p, ok := t.index[name]
	if !ok {
		return t
	}
	t = t.with(name, func(e *entry) {
		if e.inFlight == 0 {
			e.quietSince = now
		}
		e.inFlight++
		e.aside.dispatched(now)
	})
	// The group is this call's own copy, so it may still be changed here.
	t.pools[p.pool].dispatched++

	return t
}

// WithReleased ends a call that gave no evidence, such as a cancelled one.
func (t Table) WithReleased(name string, now time.Time) Table {
	return t.with(name, func(e *entry) { e.ended(now) })
}

// WithFinished ends a call that was answered, and learns from the time it took and its units of work.
func (t Table) WithFinished(name, stage string, took time.Duration, units int64, now time.Time) Table {
	known := t.entry(name)
	if known == nil {
		return t
	}
	pool := known.upstream.Pool
	times := t.poolTimes(pool)
	ratio, comparable := times.ratio(stage, took, units)
	times = times.with(stage, took, units, ratio, comparable)
	t.learned = t.learned.Set(pool, times)

	return t.with(name, func(e *entry) {
		e.ended(now)
		e.lastAnswer = later(e.lastAnswer, now)
		e.aside.succeeded(now)
		if !comparable {
			e.aside.returned(now)

			return
		}
		e.learnSpeed(ratio, times.level, now)
	})
}

// WithFailed ends a call that failed, and sets the upstream aside where the evidence is enough.
func (t Table) WithFailed(name string, f chuterequest.Failure, now time.Time) Table {
	known := t.entry(name)
	if known == nil {
		return t
	}
	if f.Leaving {
		t = t.WithLeaving(name, known.upstream.Incarnation)
	}

	return t.with(name, func(e *entry) {
		e.ended(now)
		switch f.Kind {
		case chuterequest.FailureCancelled, chuterequest.FailureExpired:
			// This node or the caller's deadline ended it; that says nothing about the upstream.
		case chuterequest.FailureRefused:
			e.lastAnswer = later(e.lastAnswer, now)
			if !f.Leaving {
				e.aside.refused(f.RetryAfter, now)
			}
		default:
			e.aside.failed(f.Kind, now)
		}
	})
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}

	return a
}

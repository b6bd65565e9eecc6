package chuterelay

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"azurechute.example/azurechute/internal/chutefleet"
)

func latestOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}

// overdueRun draws events in any order, and counts what becomes of the requests.
type overdueRun struct {
	*node

	// last is the last handle of a request that is drawn.
	last        uint64
	left        map[uint64]bool
	moved, ends map[uint64]int
	charges     map[uint64]int
	checks      []CheckAttempt
	abandoned   []AbandonSend
}

// take counts the effects since the last call.
func (o *overdueRun) take() {
	for _, effect := range o.effects {
		switch e := effect.(type) {
		case CheckAttempt:
			o.checks = append(o.checks, e)
		case AbandonSend:
			o.abandoned = append(o.abandoned, e)
			o.moved[e.Handle]++
		case Deliver:
			o.ends[e.Handle]++
		case Refuse:
			o.ends[e.Handle]++
		case Charge:
			o.charges[e.Attempt]++
		}
	}
	o.effects = nil
}

// step draws one event and reduces it.
func (o *overdueRun) step(t *rapid.T) {
	o.pass(time.Duration(rapid.Int64Range(-5, 200).Draw(t, "ms")) * time.Millisecond)
	switch kind := rapid.IntRange(0, 9).Draw(t, "kind"); {
	case kind < 4 && len(o.checks) > 0:
		i := len(o.checks) - 1 - rapid.IntRange(0, min(3, len(o.checks)-1)).Draw(t, "check")
		c := o.checks[i]
		o.now = latestOf(o.now, c.At)
		events := rapid.SampledFrom([]int{0, 0, 0, 1, 30}).Draw(t, "events")
		o.on(AttemptChecked{Handle: c.Handle, Attempt: c.Attempt, DueAt: c.At, Events: events})
	case kind == 4 && len(o.abandoned) > 0:
		a := o.abandoned[len(o.abandoned)-1]
		o.abandoned = o.abandoned[:len(o.abandoned)-1]
		o.on(AttemptEnded{Handle: a.Handle, Attempt: a.Attempt, End: EndOverdue, Events: rapid.IntRange(0, 30).Draw(t, "events")})
	case kind == 5 && !o.state.links.cutOff && o.state.fleet.HasAvailableInZone(enginePool, "z1", chutefleet.Use{}, o.now):
		o.beginAdmitted(6)
	default:
		o.other(drawEvent(t, o.node, o.last+1))
	}
	o.take()
}

// beginAdmitted has calls begin as expected. Some requests are refused, since random events leave the pool short of capacity.
func (o *overdueRun) beginAdmitted(count int) {
	var sent []Send
	for range count {
		o.handles++
		o.on(Arrived{Submission: o.engineRequest(firstHandle+o.handles, 500)})
		sent = append(sent, takeAll[Send](o.node)...)
	}
	o.pass(80 * time.Millisecond)
	for _, s := range sent {
		o.on(AttemptBegan{Handle: s.Handle, Attempt: s.Attempt})
	}
	o.effects = nil
}

// other reduces an event that is not about overdue calls.
func (o *overdueRun) other(event Event) {
	switch e := event.(type) {
	case Arrived:
		o.last++
		e.Handle = o.last
		event = e
	case CallerLeft:
		o.left[e.Handle] = true
	}
	o.on(event)
}

// finish ends all requests that are open.
func (o *overdueRun) finish() {
	o.pass(time.Minute)
	for i := range o.handles {
		o.on(DeadlinePassed{Handle: firstHandle + 1 + i})
	}
	o.effects = nil
	for handle := range o.last {
		o.on(DeadlinePassed{Handle: handle + 1})
	}
	o.take()
}

// verify fails unless each request has ended once, was moved once at most, and nothing of it is left.
func (o *overdueRun) verify(t *rapid.T) {
	for handle := uint64(1); handle <= o.last; handle++ {
		ends := o.ends[handle]
		if o.left[handle] {
			ends++
		}
		if ends != 1 || o.moved[handle] > 1 {
			t.Fatalf("request %d ended %d times and was moved %d times", handle, ends, o.moved[handle])
		}
	}
	for attempt, charges := range o.charges {
		if charges != 1 {
			t.Fatalf("attempt %d was charged %d times", attempt, charges)
		}
	}
	if open := o.state.InFlight(); open != 0 || o.state.fleet.InFlight(enginePool) != 0 {
		t.Fatalf("%d requests and %d calls are left", open, o.state.fleet.InFlight(enginePool))
	}
	for _, u := range engines(8) {
		if tokens := o.state.fleet.OutstandingTokens(u.ID, o.now); tokens != 0 {
			t.Fatalf("%s has %d tokens", u.ID, tokens)
		}
	}
}

// TestOverdueInAnyOrder guards against requests that are lost, ended twice, moved twice or charged twice, and against
// upstreams that seem to have calls which they have not, whatever the order of checks, ends and leaving callers.
func TestOverdueInAnyOrder(t *testing.T) {
	taught := newEngineNode(t, true)
	taught.runUsual(40)
	moved, all := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		o := overdueRun{
			node: &node{C: taught.C, state: taught.state, now: taught.now, handles: taught.handles},
			left: map[uint64]bool{}, moved: map[uint64]int{}, ends: map[uint64]int{}, charges: map[uint64]int{},
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			o.step(t)
		}
		o.finish()
		o.verify(t)
		moved += len(o.moved)
		all += int(o.last)
	})
	t.Logf("%d requests, %d moved", all, moved)
	if moved == 0 {
		t.Fatal("no request was moved: the events that are drawn don't reach the decision")
	}
}

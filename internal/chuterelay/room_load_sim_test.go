package chuterelay

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutefleet"
)

const (
	simEngines     = 8
	simTokensPerMs = 30.0
	simHeavyTokens = 20_000
	simLightTokens = 500
)

// roomCaller is one request in a roomSim and what became of it.
type roomCaller struct {
	workspace string
	tokens    int64
	arrivedAt time.Time
	served    bool
	left      bool
	// longestWait is the longest time from a sending to its refusal.
	longestWait time.Duration
	sentAt      time.Time
}

// roomSim runs one node and engines that process prompts in order, also those whose callers have left.
type roomSim struct {
	*simClock

	n       *node
	free    map[string]time.Time
	callers map[uint64]*roomCaller
	all     []*roomCaller
	handle  uint64
}

func newRoomSim(t testing.TB, placesByWork bool) *roomSim {
	s := &roomSim{simClock: newSimClock(1), n: newNode(t), free: map[string]time.Time{}, callers: map[uint64]*roomCaller{}}
	var upstreams []chutefleet.Upstream
	for i := range simEngines {
		id := fmt.Sprint(enginePool, i)
		upstreams = append(upstreams, chutefleet.Upstream{
			ID: id, Name: id, Pool: enginePool, Address: id + ":1", Zone: "z1", Slots: 8, State: chutefleet.StateReady,
		})
	}
	s.n.on(UpstreamsListed{Upstreams: upstreams})
	if placesByWork {
		for i := range simEngines {
			s.n.state.fleet = s.n.state.fleet.WithPace(fmt.Sprint(enginePool, i), 100, s.now)
		}
	}

	return s
}

// addLoad lets a workspace send a multiple of the engines' capacity until a time, one prompt in ten a heavy one.
func (s *roomSim) addLoad(workspace string, until time.Duration, load float64) {
	meanTokens := 0.1*simHeavyTokens + 0.9*simLightTokens
	interval := meanTokens / (load * simEngines * simTokensPerMs) * float64(time.Millisecond)
	var next func()
	next = func() {
		c := &roomCaller{workspace: workspace, tokens: simLightTokens, arrivedAt: s.now}
		if s.random.IntN(10) == 0 {
			c.tokens = simHeavyTokens
		}
		s.all = append(s.all, c)
		s.send(c)
		if s.now.Before(start.Add(until)) {
			s.after(time.Duration(s.random.ExpFloat64()*interval), next)
		}
	}
	s.after(time.Duration(s.random.ExpFloat64()*interval), next)
}

// send lets a caller send its request, with the time that it has left.
func (s *roomSim) send(c *roomCaller) {
	s.handle++
	handle, left := s.handle, c.arrivedAt.Add(3*time.Second).Sub(s.now)
	c.sentAt = s.now
	s.callers[handle] = c
	s.n.now = s.now
	submission := s.n.roomRequest(handle, c.workspace, c.tokens)
	submission.Pipeline.Affinity = false
	submission.Pipeline.Patience, submission.Deadline, submission.CallerWait = left, s.now.Add(left), left
	s.after(left, func() {
		if s.callers[handle] != nil && !c.served {
			c.left = true
			s.deliver(CallerLeft{Handle: handle})
		}
	})
	s.deliver(Arrived{Submission: submission})
}

// deliver reduces an event and carries out the effects.
func (s *roomSim) deliver(e Event) {
	s.n.now = s.now
	s.n.on(e)
	effects := s.n.effects
	s.n.effects = nil
	for _, effect := range effects {
		switch e := effect.(type) {
		case Send:
			s.process(e)
		case Refuse:
			s.refused(e)
		}
	}
}

// process queues a call at its engine.
func (s *roomSim) process(e Send) {
	id, c := e.Upstream.ID, s.callers[e.Handle]
	if s.free[id].Before(s.now) {
		s.free[id] = s.now
	}
	s.free[id] = s.free[id].Add(time.Duration(float64(c.tokens) / simTokensPerMs * float64(time.Millisecond)))
	s.after(s.free[id].Sub(s.now)+engineStartTime, func() {
		if c.left || s.callers[e.Handle] == nil {
			return
		}
		c.served = true
		s.deliver(AttemptBegan{Handle: e.Handle, Attempt: e.Attempt})
		s.deliver(AttemptEnded{Handle: e.Handle, Attempt: e.Attempt, End: EndAnswered, HasAnswer: true, Events: 1})
	})
}

// refused lets a caller come back after its retry delay if it has time left then.
func (s *roomSim) refused(e Refuse) {
	c := s.callers[e.Handle]
	delete(s.callers, e.Handle)
	c.longestWait = max(c.longestWait, s.now.Sub(c.sentAt))
	if s.now.Add(e.Refusal.RetryAfter).Before(c.arrivedAt.Add(3 * time.Second)) {
		s.after(e.Refusal.RetryAfter, func() { s.send(c) })
	}
}

// count counts the callers with some tokens that were served, all of them, and those whose call was sent in vain.
func (s *roomSim) count(tokens int64) (served, all, lost int) {
	for _, c := range s.all {
		if c.tokens != tokens {
			continue
		}
		all++
		if c.served {
			served++
		}
		if c.left {
			lost++
		}
	}

	return served, all, lost
}

func TestRoomUnderLoad(t *testing.T) {
	// Sixteen workspaces send one and a half times the capacity of eight engines for twenty seconds, one prompt in ten of
	// 20,000 tokens and the rest of 500, through the reducer. Guards against light requests that wait until their callers
	// leave behind heavy ones, and against refusals that come late.
	c := qt.New(t)
	run := func(placesByWork bool) *roomSim {
		s := newRoomSim(t, placesByWork)
		for i := range 16 {
			s.addLoad(fmt.Sprint("w", i), 20*time.Second, 1.5/16)
		}
		s.runUntil(start.Add(time.Minute))
		light, lights, lostLights := s.count(simLightTokens)
		heavy, heavies, lostHeavies := s.count(simHeavyTokens)
		t.Logf("by work %v: light %d of %d served, %d lost; heavy %d of %d, %d lost; %+v", placesByWork, light, lights, lostLights, heavy, heavies, lostHeavies, s.n.state.RoomCounts())

		return s
	}
	with, without := run(true), run(false)
	light, _, _ := with.count(simLightTokens)
	lightWithout, _, _ := without.count(simLightTokens)
	heavy, heavies, _ := with.count(simHeavyTokens)
	c.Assert(light >= 2*lightWithout, qt.IsTrue)
	c.Assert(float64(heavy) > 0.4*float64(heavies), qt.IsTrue)
	for _, caller := range with.all {
		c.Assert(caller.longestWait <= 500*time.Millisecond, qt.IsTrue)
	}
}

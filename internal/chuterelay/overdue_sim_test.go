package chuterelay

import (
	"container/heap"
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutebudget"
)

const (
	// simChunk is the number of prompt tokens that a simulated engine processes at a time, simRate its tokens per
	// millisecond.
	simChunk = 512
	simRate  = 25
	// simInterval is the usual time between two events of a simulated stream of simEvents events.
	simInterval = 50 * time.Millisecond
	simEvents   = 41
	// simLearning is the time until an engine or all of them change.
	simLearning = 20 * time.Second
)

// overdueSim runs requests of a node at engines that process prompts in chunks.
type overdueSim struct {
	*node
	*simClock

	// interleaves says that engines process the chunks of several prompts by turns, not one prompt after the other.
	interleaves bool
	// factor returns how long work takes at an engine now, as a multiple of the usual; 0 means that it stands still.
	factor func(engine string) float64
	// prompts are the calls of each engine whose prompts are not processed.
	prompts map[string][]*simPrompt
	busy    map[string]bool
	running map[uint64]*simPrompt
	// waits are the times from the arrival to the first event, by handle; heavy are the handles of long prompts.
	waits   map[uint64]time.Duration
	arrived map[uint64]time.Time
	heavy   map[uint64]bool
	// moved are the requests that were moved with the times, refused those that ended without an answer.
	moved    map[uint64]time.Time
	refused  int
	answered int
	// ended are the requests whose answers were complete.
	ended  map[uint64]bool
	lastID uint64
}

// simPrompt is a call at a simulated engine.
type simPrompt struct {
	send     Send
	left     int64
	begunAt  time.Time
	progress float64
	gone     bool
}

func newOverdueSim(t testing.TB, seed uint64, paced bool) *overdueSim {
	n := newEngineNode(t, paced)
	n.state.settings.Retries = chutebudget.Settings{Ratio: 0.2, Slack: 10}
	s := &overdueSim{
		node: n, simClock: newSimClock(seed), factor: func(string) float64 { return 1 },
		prompts: map[string][]*simPrompt{}, busy: map[string]bool{}, running: map[uint64]*simPrompt{}, waits: map[uint64]time.Duration{},
		arrived: map[uint64]time.Time{}, heavy: map[uint64]bool{}, ended: map[uint64]bool{}, moved: map[uint64]time.Time{},
	}

	return s
}

// run simulates some time with a number of requests per second, one in ten with 20,000 prompt tokens and the rest
// with 500.
func (s *overdueSim) run(d time.Duration, perSecond float64) {
	s.arrive(perSecond)
	end := s.simClock.now.Add(d)
	for len(s.queue) > 0 && s.queue[0].at.Before(end) {
		next := heap.Pop(&s.queue).(simEvent)
		s.simClock.now = next.at
		next.what()
	}
}

// arrive has the next request arrive after a random time.
func (s *overdueSim) arrive(perSecond float64) {
	gap := time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
	s.after(gap, func() {
		s.lastID++
		tokens := int64(500)
		if s.random.IntN(10) == 0 {
			tokens = 20_000
		}
		s.arrived[s.lastID], s.heavy[s.lastID] = s.simClock.now, tokens > 500
		s.node.now = s.simClock.now
		s.event(Arrived{Submission: s.engineRequest(s.lastID, tokens)})
		s.arrive(perSecond)
	})
}

// event reduces an event and carries its effects out.
func (s *overdueSim) event(e Event) {
	s.node.now = s.simClock.now
	s.on(e)
	effects := s.effects
	s.effects = nil
	for _, effect := range effects {
		s.perform(effect)
	}
}

func (s *overdueSim) perform(effect Effect) {
	switch e := effect.(type) {
	case Send:
		p := &simPrompt{send: e, left: s.state.promptTokens(e.Handle)}
		s.running[e.Attempt] = p
		s.prompts[e.Upstream.ID] = append(s.prompts[e.Upstream.ID], p)
		s.work(e.Upstream.ID)
	case CheckAttempt:
		s.after(e.At.Sub(s.simClock.now), func() {
			if p := s.running[e.Attempt]; p != nil {
				s.event(AttemptChecked{Handle: e.Handle, Attempt: e.Attempt, DueAt: e.At, Events: s.eventsOf(p)})
			}
		})
	case AbandonSend:
		p := s.running[e.Attempt]
		if p == nil || !e.Begun && !p.begunAt.IsZero() {
			return
		}
		s.moved[e.Handle] = s.simClock.now
		s.drop(e.Attempt)
		s.after(time.Millisecond, func() {
			s.event(AttemptEnded{Handle: e.Handle, Attempt: e.Attempt, End: EndOverdue, Events: s.eventsOf(p)})
		})
	case CancelSend:
		s.drop(e.Attempt)
	case SetDeadline:
		s.after(e.At.Sub(s.simClock.now), func() { s.event(DeadlinePassed{Handle: e.Handle}) })
	case Refuse:
		s.refused++
	case Deliver:
		s.answered++
		s.ended[e.Handle] = true
	}
}

// promptTokens returns the prompt tokens of a request.
func (s State) promptTokens(handle uint64) int64 {
	r, _ := s.requests.Get(handle)

	return r.PromptTokens
}

// drop removes a call from its engine.
func (s *overdueSim) drop(attempt uint64) {
	p := s.running[attempt]
	if p == nil {
		return
	}
	p.gone = true
	delete(s.running, attempt)
	id := p.send.Upstream.ID
	s.prompts[id] = slices.DeleteFunc(s.prompts[id], func(other *simPrompt) bool { return other == p })
}

// simPoll is how often a simulated engine that stands still, or a stream on it, is looked at.
const simPoll = 50 * time.Millisecond

// work has an engine process the next chunk of a prompt.
func (s *overdueSim) work(engine string) {
	if s.busy[engine] || len(s.prompts[engine]) == 0 {
		return
	}
	s.busy[engine] = true
	factor := s.factor(engine)
	if factor == 0 {
		s.after(simPoll, func() { s.busy[engine] = false; s.work(engine) })

		return
	}
	p := s.prompts[engine][0]
	tokens := min(simChunk, p.left)
	jitter := math.Exp(0.3 * s.random.NormFloat64())
	took := time.Duration(float64(tokens) / simRate * factor * jitter * float64(time.Millisecond))
	s.after(took, func() {
		s.busy[engine] = false
		if p.left -= tokens; !p.gone && p.left <= 0 {
			s.prompts[engine] = slices.DeleteFunc(s.prompts[engine], func(other *simPrompt) bool { return other == p })
			s.after(time.Duration(60*factor)*time.Millisecond, func() { s.begin(p) })
		} else if !p.gone && s.interleaves {
			s.prompts[engine] = append(slices.DeleteFunc(s.prompts[engine], func(other *simPrompt) bool { return other == p }), p)
		}
		s.work(engine)
	})
}

// begin has the first event of a call arrive.
func (s *overdueSim) begin(p *simPrompt) {
	if p.gone {
		return
	}
	p.begunAt = s.simClock.now
	if _, known := s.waits[p.send.Handle]; !known {
		s.waits[p.send.Handle] = s.simClock.now.Sub(s.arrived[p.send.Handle])
	}
	p.progress = 1
	s.event(AttemptBegan{Handle: p.send.Handle, Attempt: p.send.Attempt})
	s.goOn(p)
}

// goOn advances a stream until it is complete.
func (s *overdueSim) goOn(p *simPrompt) {
	s.after(simPoll, func() {
		if p.gone {
			return
		}
		if factor := s.factor(p.send.Upstream.ID); factor > 0 {
			p.progress += float64(simPoll) / float64(simInterval) / factor
		}
		if p.progress < simEvents {
			s.goOn(p)

			return
		}
		s.drop(p.send.Attempt)
		s.event(AttemptEnded{Handle: p.send.Handle, Attempt: p.send.Attempt, End: EndAnswered, Events: simEvents})
	})
}

func (s *overdueSim) eventsOf(p *simPrompt) int {
	return int(p.progress)
}

// count counts the requests that were moved after a time, and those of them with long prompts.
func (s *overdueSim) count(since time.Time) (moved, heavy int) {
	for handle, at := range s.moved {
		if at.Before(since) {
			continue
		}
		moved++
		if s.heavy[handle] {
			heavy++
		}
	}

	return moved, heavy
}

// countLost counts the requests of the 5 s after a stall that have no first event within 4 s, and the streams that were
// open at the stall and are not completed.
func (s *overdueSim) countLost(stall time.Time) (notBegun, notContinued int) {
	for handle, at := range s.arrived {
		wait, begun := s.waits[handle]
		if at.After(stall) && at.Before(stall.Add(5*time.Second)) && (!begun || wait > 4*time.Second) {
			notBegun++
		}
		if begun && at.Add(wait).Before(stall) && at.After(stall.Add(-2*time.Second)) && !s.ended[handle] {
			notContinued++
		}
	}

	return notBegun, notContinued
}

func TestOverdueHeavyAmongLight(t *testing.T) {
	// Guards against prompts of 20,000 tokens that are given up among those of 500, and light ones behind them.
	for name, interleaves := range map[string]bool{"one prompt after the other": false, "by turns": true} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				s := newOverdueSim(t, seed, true)
				s.interleaves = interleaves
				s.run(time.Minute, 40)
				moved, heavy := s.count(start)
				t.Logf("%d requests, %d moved, %d of them heavy, %d answered, %d refused", s.lastID, moved, heavy, s.answered, s.refused)
				s.Assert(heavy, qt.Equals, 0)
				s.Assert(float64(moved) <= 0.002*float64(s.lastID), qt.IsTrue)
			}
		})
	}
}

func TestOverdueAboveCapacity(t *testing.T) {
	// Guards against moves that add prompts to engines which are full: more requests arrive than the engines can serve,
	// and engines are 2.5 times slower for 600 ms at a time.
	for seed := range uint64(3) {
		s := newOverdueSim(t, seed, true)
		s.interleaves = true
		slowUntil := map[string]time.Time{}
		s.factor = func(engine string) float64 {
			if s.random.IntN(150) == 0 {
				slowUntil[engine] = s.simClock.now.Add(600 * time.Millisecond)
			}
			if s.simClock.now.Before(slowUntil[engine]) {
				return 2.5
			}

			return 1
		}
		s.run(time.Minute, 70)
		moved, heavy := s.count(start)
		t.Logf("%d requests, %d moved, %d of them heavy, %d answered, %d refused", s.lastID, moved, heavy, s.answered, s.refused)
		s.Assert(float64(moved) <= 0.01*float64(s.lastID), qt.IsTrue)
	}
}

func TestOverdueOneStalls(t *testing.T) {
	// Guards against callers who wait at an engine that has stalled while seven others are free.
	lost, broken := map[bool]int{}, map[bool]int{}
	for seed := range uint64(6) {
		for _, paced := range []bool{false, true} {
			s := newOverdueSim(t, seed, paced)
			stall := start.Add(simLearning)
			s.factor = func(engine string) float64 {
				if engine == "e3" && !s.simClock.now.Before(stall) {
					return 0
				}

				return 1
			}
			s.run(simLearning+10*time.Second, 20)
			moved, heavy := s.count(stall)
			notBegun, notContinued := s.countLost(stall)
			lost[paced] += notBegun
			broken[paced] += notContinued
			t.Logf("paced %v: %d requests, %d moved, %d of them heavy, %d of 5 s without a first event in 4 s, %d streams not continued, %d refused",
				paced, s.lastID, moved, heavy, lost[paced], broken[paced], s.refused)
		}
	}
	qt.Assert(t, lost[true]*4 <= lost[false], qt.IsTrue, qt.Commentf("%v", lost))
	qt.Assert(t, broken[true]*4 <= broken[false], qt.IsTrue, qt.Commentf("%v", broken))
}

func TestOverdueAllSlow(t *testing.T) {
	// Guards against moves while all engines are slow together: another one is no faster, and each move costs a prompt.
	for seed := range uint64(3) {
		s := newOverdueSim(t, seed, true)
		slow := start.Add(simLearning)
		s.factor = func(string) float64 {
			if s.simClock.now.Before(slow) {
				return 1
			}

			return 4
		}
		s.run(simLearning+10*time.Second, 16)
		moved, heavy := s.count(slow)
		t.Logf("%d requests, %d moved, %d of them heavy, %d refused", s.lastID, moved, heavy, s.refused)
		s.Assert(moved <= 1, qt.IsTrue)
	}
}

package chuterelay

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteroute"
)

const (
	// simSlots is the number of slots of a simulated upstream, simWaiting the calls that may wait
	// there before it is brittle, and brittleRejections the calls a second that it may turn away.
	simSlots          = 6
	simWaiting        = 24
	brittleRejections = 4
	// brittleFrom is when the upstreams say that they are brittle, and brittleGrace the time after which
	// nothing may wait any more and they fall over.
	brittleFrom  = 3 * time.Second
	brittleGrace = 3 * time.Second
	brittleEnd   = 18 * time.Second
	// fallTime is how long an upstream is gone that has fallen over.
	fallTime = 3 * time.Second
	// simCallTime is how long a call takes, and gossipTime an announcement.
	simCallTime = 60 * time.Millisecond
	gossipTime  = 30 * time.Millisecond
)

// brittleUpstream is a simulated upstream that falls over if it turns many calls away.
type brittleUpstream struct {
	running    int
	queue      []func()
	rejectedAt []time.Time
	goneUntil  time.Time
	served     int
}

// brittleWorld is nodes in front of a pool of brittle upstreams.
type brittleWorld struct {
	*cutWorld

	upstreams map[string]*brittleUpstream
	falls     int
	offered   int
}

func newBrittleWorld(t testing.TB, seed uint64, nodes, upstreams int) *brittleWorld {
	w := &brittleWorld{cutWorld: newCutWorld(t, seed, nodes), upstreams: map[string]*brittleUpstream{}}
	var list []chutefleet.Upstream
	for _, u := range simUpstreams(upstreams) {
		u.Slots = simSlots
		list = append(list, u)
		w.upstreams[u.ID] = &brittleUpstream{}
	}
	for i := range nodes {
		w.on(i, UpstreamsListed{Upstreams: list})
	}
	w.callUpstream = w.receive
	w.onAnnounce = func(from int, e AnnounceLimit) {
		for i := range w.nodes {
			if i != from {
				w.after(gossipTime, func() { w.on(i, LimitsAnnounced{Limits: []chutefleet.LimitRecord{e.Limit}}) })
			}
		}
	}

	return w
}

// isBrittle reports whether the upstreams say that they are brittle.
func (w *brittleWorld) isBrittle() bool {
	return !w.now.Before(start.Add(brittleFrom)) && w.now.Before(start.Add(brittleEnd))
}

// isStrict reports whether nothing may wait at the upstreams, and they fall over.
func (w *brittleWorld) isStrict() bool {
	return w.isBrittle() && !w.now.Before(start.Add(brittleFrom+brittleGrace))
}

// receive brings a call to its upstream.
func (w *brittleWorld) receive(i int, s Send) {
	w.after(time.Millisecond, func() {
		u := w.upstreams[s.Upstream.ID]
		room := simWaiting
		if w.isStrict() {
			room = 0
		}
		switch {
		case w.now.Before(u.goneUntil):
			w.on(i, AttemptEnded{Handle: s.Handle, Attempt: s.Attempt, End: EndUnreachable})
		case u.running < simSlots:
			w.start(u, i, s)
		case len(u.queue) < room:
			u.queue = append(u.queue, func() { w.start(u, i, s) })
		default:
			w.reject(u, i, s)
		}
	})
}

func (w *brittleWorld) start(u *brittleUpstream, i int, s Send) {
	u.running++
	w.after(w.between(simCallTime/2, simCallTime*3/2), func() {
		u.running--
		if w.now.Before(u.goneUntil) {
			w.on(i, AttemptEnded{Handle: s.Handle, Attempt: s.Attempt, End: EndBroken})

			return
		}
		u.served++
		w.on(i, AttemptEnded{Handle: s.Handle, Attempt: s.Attempt, End: EndAnswered, HasAnswer: true, Brittle: w.report()})
		if len(u.queue) > 0 {
			next := u.queue[0]
			u.queue = u.queue[1:]
			next()
		}
	})
}

func (w *brittleWorld) report() *Brittle {
	return &Brittle{Named: w.isBrittle(), Rejections: brittleRejections}
}

// reject turns a call away, which may make the upstream fall over.
func (w *brittleWorld) reject(u *brittleUpstream, i int, s Send) {
	if w.isStrict() {
		u.rejectedAt = append(u.rejectedAt, w.now)
		recent := 0
		for _, at := range u.rejectedAt {
			if w.now.Sub(at) < time.Second {
				recent++
			}
		}
		if recent > brittleRejections {
			w.falls++
			u.goneUntil, u.rejectedAt, u.queue = w.now.Add(fallTime), nil, nil
		}
	}
	w.on(i, AttemptEnded{Handle: s.Handle, Attempt: s.Attempt, End: EndRefused, Brittle: w.report()})
}

// capacity is the number of calls a second that all upstreams can run.
func (w *brittleWorld) capacity() float64 {
	return float64(len(w.upstreams)) * simSlots / simCallTime.Seconds()
}

// play sends load times the capacity from the first senders nodes, and returns the share of the capacity that
// was served while the upstreams were strict.
func (w *brittleWorld) play(load float64, senders int) float64 {
	interval := time.Duration(float64(senders) / (load * w.capacity()) * float64(time.Second))
	for i := range senders {
		w.every(max(time.Millisecond, interval), func() {
			w.handles++
			w.offered++
			submission := plainRequest(0, chuteroute.Unrepeatable)
			submission.ID, submission.Deadline = fmt.Sprint("r", w.handles), w.now.Add(3*time.Second)
			w.arrive(i, submission, simOrigin{caller: true, sentAt: w.now})
		})
	}
	strictFrom := start.Add(brittleFrom + brittleGrace)
	w.runUntil(strictFrom)
	before := w.servedCalls()
	w.runUntil(start.Add(brittleEnd))

	return float64(w.servedCalls()-before) / (w.capacity() * (brittleEnd - brittleFrom - brittleGrace).Seconds())
}

func (w *brittleWorld) servedCalls() int {
	n := 0
	for _, u := range w.upstreams {
		n += u.served
	}

	return n
}

// Guards against brittle upstreams that fall over because all nodes together have them turn calls away.
func TestBrittleUpstreams(t *testing.T) {
	type load struct {
		nodes, upstreams, senders int
		load                      float64
		minServed                 float64
	}
	tests := []load{
		{nodes: 8, upstreams: 4, senders: 8, load: 1.4, minServed: 0.5},
		{nodes: 8, upstreams: 4, senders: 2, load: 0.4, minServed: 0.3},
		{nodes: 8, upstreams: 1, senders: 8, load: 1.4, minServed: 0.5},
		{nodes: 36, upstreams: 4, senders: 36, load: 1.4, minServed: 0.5},
		{nodes: 195, upstreams: 4, senders: 195, load: 1.4, minServed: 0.5},
		{nodes: 195, upstreams: 4, senders: 195, load: 0.4, minServed: 0.3},
	}
	if *simLarge {
		tests = append(tests, load{nodes: 36, upstreams: 40, senders: 36, load: 1.4, minServed: 0.5}, load{nodes: 985, upstreams: 4, senders: 985, load: 1.4, minServed: 0.5})
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d nodes, %d upstreams, %d senders, load %v", test.nodes, test.upstreams, test.senders, test.load), func(t *testing.T) {
			w := newBrittleWorld(t, 1, test.nodes, test.upstreams)
			served := w.play(test.load, test.senders)
			w.Logf("%d falls, %.2f of the capacity served", w.falls, served)
			w.Assert(w.falls, qt.Equals, 0)
			w.Assert(served >= test.minServed, qt.IsTrue, qt.Commentf("%.2f of the capacity served", served))
		})
	}
}

package chuteshare

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"azurechute.example/azurechute/internal/chuteshare/chutesharepb"
	"azurechute.example/azurechute/internal/chutework"
)

// workLoad is the load of one zone of three in TestWorkTraffic.
type workLoad struct {
	nodes int
	// upstreams is their number in all zones; each zone calls all of them.
	upstreams int
	// callsPerSecond is that of each node. A call has 5,000 prompt tokens, which are processed after 300 ms, and lasts 2 s.
	callsPerSecond float64
	interval       time.Duration
}

const (
	trafficZones    = 3
	trafficSpan     = 2 * time.Second
	trafficTokens   = 5000
	trafficReadTime = 300 * time.Millisecond
	trafficCallTime = 2 * time.Second
	// frameBytes is what gRPC and HTTP/2 add to a message.
	frameBytes = 14
)

// trafficStep is something that happens at a time.
type trafficStep struct {
	at time.Time
	do func()
}

type trafficSteps []trafficStep

func (s trafficSteps) Len() int           { return len(s) }
func (s trafficSteps) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s trafficSteps) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *trafficSteps) Push(x any)        { *s = append(*s, x.(trafficStep)) } //nolint:forcetypeassert // by container/heap
func (s *trafficSteps) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]

	return last
}

// trafficRun simulates the exchange among the nodes of three zones without a network.
type trafficRun struct {
	load   workLoad
	random *rand.Rand
	now    time.Time
	steps  trafficSteps
	tables [trafficZones]chutework.Table
	// messages and bytes are by direction: up to the aggregators, down to the nodes, and across between aggregators.
	messages, bytes, reports map[string]int
}

func (r *trafficRun) after(d time.Duration, do func()) {
	heap.Push(&r.steps, trafficStep{at: r.now.Add(d), do: do})
}

// send counts a message; without reports nothing is sent.
func (r *trafficRun) send(direction string, reports []chutework.Report, numbers *workNumbers) {
	if len(reports) == 0 {
		return
	}
	r.messages[direction]++
	r.reports[direction] += len(reports)
	r.bytes[direction] += frameBytes + proto.Size(&chutesharepb.WorkMessage{SentMs: 100_000, Reports: encodeWork(reports, numbers)})
}

// upstream returns the id of one of the upstreams.
func (r *trafficRun) upstream(i int) string {
	return fmt.Sprintf("i-%010x@1764700000%03d", i, i%1000)
}

// addNode has a node call upstreams, report to its aggregator and get its sums.
func (r *trafficRun) addNode(zone, number int) {
	outbox, subscription := chutework.NewOutbox(), chutework.NewSubscription(chutework.ScopeAll)
	var upBudget, downBudget chutework.Budget
	var up, down workNumbers
	known := map[string]*chutework.Report{}
	update := chutework.Update{Reporter: chutework.Reporter{Name: fmt.Sprint("n", zone, "-", number), Zone: fmt.Sprint("z", zone)}, Stream: 1}
	var call, exchange func()
	call = func() {
		id := r.upstream(r.random.IntN(r.load.upstreams))
		if known[id] == nil {
			known[id] = &chutework.Report{Upstream: id}
		}
		u := known[id]
		u.Calls++
		u.Tokens += trafficTokens
		r.after(trafficReadTime, func() { u.Tokens -= trafficTokens })
		r.after(trafficCallTime, func() {
			u.Calls--
			u.Samples++
			u.EventInterval = time.Duration(10_000+r.random.IntN(20_000)) * time.Microsecond
			u.Pace = 80 + r.random.IntN(200)
		})
		r.after(time.Duration(r.random.ExpFloat64()/r.load.callsPerSecond*float64(time.Second)), call)
	}
	exchange = func() {
		var own []chutework.Report
		for id, u := range known {
			own = append(own, *u)
			if u.Samples = 0; u.Calls == 0 {
				delete(known, id)
			}
		}
		outbox = outbox.With(own, r.now)
		update.Reports, outbox = outbox.Take(r.now, upBudget.Limit(r.now))
		upBudget = upBudget.WithSent(len(update.Reports), r.now)
		r.send("up", update.Reports, &up)
		update.Number++
		r.tables[zone] = r.tables[zone].With(update, r.now)
		var sums []chutework.Report
		sums, subscription = r.tables[zone].Changes(subscription, r.now, downBudget.Limit(r.now))
		downBudget = downBudget.WithSent(len(sums), r.now)
		r.send("down", sums, &down)
		r.after(r.load.interval, exchange)
	}
	r.after(time.Duration(r.random.Int64N(int64(time.Second))), call)
	r.after(time.Duration(r.random.Int64N(int64(r.load.interval))), exchange)
}

// addLink has an aggregator send the sums of its zone to that of another one.
func (r *trafficRun) addLink(from, to int) {
	subscription := chutework.NewSubscription(chutework.ScopeZone)
	var budget chutework.Budget
	var numbers workNumbers
	update := chutework.Update{Reporter: chutework.Reporter{Name: fmt.Sprint("n", from, "-0"), Zone: fmt.Sprint("z", from)}, Stream: 1}
	var exchange func()
	exchange = func() {
		r.tables[from] = r.tables[from].WithoutExpired(r.now)
		update.Reports, subscription = r.tables[from].Changes(subscription, r.now, budget.Limit(r.now))
		budget = budget.WithSent(len(update.Reports), r.now)
		r.send("across", update.Reports, &numbers)
		update.Number++
		r.tables[to] = r.tables[to].With(update, r.now)
		r.after(r.load.interval, exchange)
	}
	r.after(time.Duration(r.random.Int64N(int64(r.load.interval))), exchange)
}

func (r *trafficRun) run(span time.Duration) {
	for end := r.now.Add(span); r.steps[0].at.Before(end); {
		step, _ := heap.Pop(&r.steps).(trafficStep)
		r.now = step.at
		step.do()
	}
}

// Guards against an exchange that takes more than the 8 KB a second that a node has for control messages. It prints the
// messages and bytes a second of each node and of an aggregator.
func TestWorkTraffic(t *testing.T) {
	for _, load := range []workLoad{
		{nodes: 25, upstreams: 100, callsPerSecond: 1, interval: 100 * time.Millisecond},
		{nodes: 25, upstreams: 100, callsPerSecond: 10, interval: 100 * time.Millisecond},
		{nodes: 200, upstreams: 1000, callsPerSecond: 1, interval: 800 * time.Millisecond},
		{nodes: 200, upstreams: 1000, callsPerSecond: 10, interval: 800 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d nodes a zone, %g calls a second each", load.nodes, load.callsPerSecond), func(t *testing.T) {
			c := qt.New(t)
			r := &trafficRun{load: load, random: rand.New(rand.NewPCG(1, 2)), now: startTime, messages: map[string]int{}, bytes: map[string]int{}, reports: map[string]int{}}
			for zone := range trafficZones {
				r.tables[zone] = chutework.NewTable(fmt.Sprint("z", zone))
				for number := range load.nodes {
					r.addNode(zone, number)
				}
				for other := range trafficZones {
					if other != zone {
						r.addLink(zone, other)
					}
				}
			}
			r.run(trafficCallTime)
			clear(r.messages)
			clear(r.bytes)
			clear(r.reports)
			r.run(trafficSpan)
			perNode := func(counts map[string]int, direction string) float64 {
				return float64(counts[direction]) / trafficSpan.Seconds() / float64(trafficZones*load.nodes)
			}
			for _, direction := range []string{"up", "down"} {
				c.Logf("%-4s per node: %5.1f messages/s, %6.1f reports/s, %6.0f bytes/s", direction, perNode(r.messages, direction), perNode(r.reports, direction), perNode(r.bytes, direction))
			}
			c.Logf("an aggregator: %.0f messages/s, %.0f bytes/s in all, of which to and from others %.0f bytes/s",
				(perNode(r.messages, "up")+perNode(r.messages, "down")+2*perNode(r.messages, "across"))*float64(load.nodes),
				(perNode(r.bytes, "up")+perNode(r.bytes, "down")+2*perNode(r.bytes, "across"))*float64(load.nodes), 2*perNode(r.bytes, "across")*float64(load.nodes))
			total := perNode(r.bytes, "up") + perNode(r.bytes, "down")
			c.Assert(total <= 8<<10, qt.IsTrue, qt.Commentf("%.0f bytes/s", total))
		})
	}
}

package chutefleet

import (
	"math"
	"time"

	"azurechute.example/azurechute/internal/chutework"
)

const (
	// paceHalfLife is the half-life of a reported pace: neighbours on a VM change it many times a second.
	paceHalfLife = 300 * time.Millisecond
	// usualPace is the pace, in percent, at which work takes as long as usual.
	usualPace = 100
	// minPace and maxPace bound a reported pace, so that an upstream that claims to be fast gets few more calls.
	minPace, maxPace = 80, 400
	// minSpeed and maxSpeed bound an upstream's speed relative to its pool's mean.
	minSpeed, maxSpeed = 0.5, 2.0
	// speedSteps is the number of classes per factor of two into which speeds are rounded, so that small differences
	// in what nodes have learned don't move prompts between upstreams.
	speedSteps = 3
	// minSpeedSamples is the number of streams from which on a learned event interval is used.
	minSpeedSamples = 3
	// newestIntervalWeight is the least weight of the newest streams in a learned event interval.
	newestIntervalWeight = 0.1
)

// work is what is known of the outstanding work of an upstream and of how fast it does it. It is kept apart from
// observations, which are dropped after some seconds.
type work struct {
	// others counts the prompt tokens of other nodes' calls that the upstream has not processed, calls these calls, as of
	// othersAt.
	others   int64
	calls    int
	othersAt time.Time
	pace     int
	paceAt   time.Time
	// heard is the event interval that other nodes have learned too, own what this node has learned since its last report,
	// unless it is in heard already.
	heard interval
	own   interval
	// logInterval is the logarithm of the interval learned by all nodes, kept since each choice needs it; 0 if too few
	// streams are known.
	logInterval float64
}

// interval is a learned time between two events of a stream, in milliseconds.
type interval struct {
	ms      float64
	samples int
}

// with returns the interval with one that was learned from further streams.
func (i interval) with(next interval) interval {
	switch {
	case next.samples == 0:
		return i
	case i.samples == 0:
		return next
	}
	weight := max(newestIntervalWeight, float64(next.samples)/float64(i.samples+next.samples))

	return interval{ms: i.ms * math.Pow(next.ms/i.ms, weight), samples: i.samples + next.samples}
}

// poolWork is what is known of the upstreams of a pool that report a pace.
type poolWork struct {
	// logSum adds up the logarithms of the known event intervals, known is their number.
	logSum float64
	known  int
	// rate is the learned rate at which they process prompts, in tokens per millisecond; 0 if unknown.
	rate float64
}

// PlacesByWork reports whether calls to a pool are placed by the outstanding work of its upstreams: those report their
// pace.
func (f Fleet) PlacesByWork(pool string) bool {
	_, ok := f.workPools[pool]

	return ok
}

// ExchangesWork reports whether there is any pool whose calls are placed by work.
func (f Fleet) ExchangesWork() bool {
	return len(f.workPools) > 0
}

// WithPace records the pace that an upstream has reported, in percent of the usual time.
func (f Fleet) WithPace(id string, pace int, now time.Time) Fleet {
	m, ok := f.members.Get(id)
	if !ok || pace <= 0 {
		return f
	}
	f = f.withWorkPool(m.Pool)

	return f.withWork(m, func(w *work) { w.pace, w.paceAt = min(max(minPace, pace), maxPace), now })
}

// WithEventInterval records the time between two events of a stream that has ended.
func (f Fleet) WithEventInterval(id string, d time.Duration) Fleet {
	m, ok := f.members.Get(id)
	if !ok || d <= 0 || !f.PlacesByWork(m.Pool) {
		return f
	}

	return f.withWork(m, func(w *work) {
		w.own = w.own.with(interval{ms: float64(d) / float64(time.Millisecond), samples: 1})
	})
}

// WithWork records what the aggregator reports of upstreams, this node's calls among them.
func (f Fleet) WithWork(reports []chutework.Report, now time.Time) Fleet {
	for _, r := range reports {
		m, ok := f.members.Get(r.Upstream)
		if !ok || r.Age >= chutework.ReportLifetime {
			continue
		}
		f = f.withWorkPool(m.Pool).withWork(m, func(w *work) {
			w.others, w.calls, w.othersAt = max(0, max(0, r.Tokens)-m.unreadTokens), max(0, max(0, r.Calls)-m.inFlight), now.Add(-r.Age)
			if at := now.Add(-r.PaceAge); r.Pace > 0 && at.After(w.paceAt) {
				w.pace, w.paceAt = min(max(minPace, r.Pace), maxPace), at
			}
			if r.Samples > 0 && r.EventInterval > 0 {
				w.heard = interval{ms: float64(r.EventInterval) / float64(time.Millisecond), samples: r.Samples}
			}
		})
	}

	return f
}

// TakeWork returns this node's reports of the upstreams with calls of its own, or of which it has learned something since
// the last reports, and the fleet without what they say of event intervals.
func (f Fleet) TakeWork(now time.Time) (Fleet, []chutework.Report) {
	var reports []chutework.Report
	for i := f.reportable.Iterator(); !i.Done(); {
		id, _, _ := i.Next()
		m, ok := f.members.Get(id)
		if !ok {
			f.reportable = f.reportable.Delete(id)

			continue
		}
		w, _ := f.work.Get(id)
		r := chutework.Report{
			Upstream: id, Calls: m.inFlight, Tokens: m.unreadTokens,
			EventInterval: time.Duration(w.own.ms * float64(time.Millisecond)), Samples: w.own.samples,
		}
		if age := now.Sub(w.paceAt); w.pace > 0 && age < chutework.ReportLifetime {
			r.Pace, r.PaceAge = w.pace, age
		}
		reports = append(reports, r)
		if w.own.samples > 0 {
			f = f.withWork(m, func(w *work) { w.heard, w.own = w.heard.with(w.own), interval{} })
		}
		if m.inFlight == 0 {
			f.reportable = f.reportable.Delete(id)
		}
	}

	return f, reports
}

// withWorkPool notes that the upstreams of a pool report their pace.
func (f Fleet) withWorkPool(pool string) Fleet {
	if f.PlacesByWork(pool) {
		return f
	}

	return f.withPoolWork(pool, poolWork{})
}

func (f Fleet) withPoolWork(pool string, p poolWork) Fleet {
	next := make(map[string]poolWork, len(f.workPools)+1)
	for name, known := range f.workPools {
		next[name] = known
	}
	next[pool] = p
	f.workPools = next

	return f
}

// withWork returns the fleet with a change of what is known of an upstream's work.
func (f Fleet) withWork(m *member, change func(w *work)) Fleet {
	w, _ := f.work.Get(m.ID)
	before := w.interval()
	change(&w)
	after := w.interval()
	if after != before {
		w.logInterval = after.log()
	}
	f.work = f.work.Set(m.ID, w)
	if w.own.samples > 0 {
		f.reportable = f.reportable.Set(m.ID, struct{}{})
	}
	if after != before {
		f = f.withPoolWork(m.Pool, f.workPools[m.Pool].with(before, -1).with(after, 1))
	}

	return f
}

// with returns the pool with an interval added or, if n is negative, removed.
func (p poolWork) with(i interval, n int) poolWork {
	if i.samples >= minSpeedSamples {
		p.logSum += float64(n) * i.log()
		p.known += n
	}

	return p
}

// log returns the logarithm of an interval; 0 if too few streams are known.
func (i interval) log() float64 {
	if i.samples < minSpeedSamples {
		return 0
	}

	return math.Log(i.ms)
}

// interval returns the event interval learned by all nodes.
func (w work) interval() interval {
	return w.heard.with(w.own)
}

// withoutWork drops what is known of an upstream's work.
func (f Fleet) withoutWork(m *member) Fleet {
	w, ok := f.work.Get(m.ID)
	if !ok {
		return f
	}
	f.work = f.work.Delete(m.ID)
	f.reportable = f.reportable.Delete(m.ID)

	return f.withPoolWork(m.Pool, f.workPools[m.Pool].with(w.interval(), -1))
}

// speed returns an upstream's speed relative to the mean of its pool, rounded; 1 if it is unknown.
func (f Fleet) speed(m *member) float64 {
	w, _ := f.work.Get(m.ID)

	return f.speedOf(m, w)
}

// speedOf returns the speed of an upstream of whose work w is known.
func (f Fleet) speedOf(m *member, w work) float64 {
	return speeds[f.speedClass(m, w)+maxSpeedClass]
}

// maxSpeedClass is the class of maxSpeed.
const maxSpeedClass = speedSteps

// speeds and homeWeights hold, by the class of a speed, the speed and the weight of an upstream in the order for a prompt.
var speeds, homeWeights = speedTables()

func speedTables() (speeds, weights [2*maxSpeedClass + 1]float64) {
	for i := range speeds {
		speeds[i] = min(max(minSpeed, math.Exp2(float64(i-maxSpeedClass)/speedSteps)), maxSpeed)
		weights[i] = math.Pow(speeds[i], homeSpeedExponent)
	}

	return speeds, weights
}

// speedClass returns the class of an upstream's speed, from -maxSpeedClass to maxSpeedClass; 0 if it is unknown.
func (f Fleet) speedClass(m *member, w work) int {
	pool := f.workPools[m.Pool]
	if w.heard.samples+w.own.samples < minSpeedSamples || pool.known == 0 {
		return 0
	}
	log2Ratio := (pool.logSum/float64(pool.known) - w.logInterval) / math.Ln2

	return int(math.Round(min(max(-1, log2Ratio), 1) * speedSteps))
}

// paceFactor returns how long work takes at the moment as a multiple of the usual time.
func (w work) paceFactor(now time.Time) float64 {
	if w.pace <= 0 {
		return 1
	}
	decay := math.Exp2(-float64(now.Sub(w.paceAt)) / float64(paceHalfLife))

	return 1 + (float64(w.pace)/usualPace-1)*decay
}

// outstandingTokens returns the prompt tokens that the upstream has not processed, those of other nodes by the last report.
func (f Fleet) outstandingTokens(m *member, now time.Time) float64 {
	w, _ := f.work.Get(m.ID)

	return w.outstandingTokens(m, now)
}

// outstandingTokens returns the prompt tokens that an upstream of whose work w is known has not processed.
func (w work) outstandingTokens(m *member, now time.Time) float64 {
	age := now.Sub(w.othersAt)
	if w.others == 0 || age >= chutework.ReportLifetime {
		return float64(m.unreadTokens)
	}
	weight := 1 - float64(age)/float64(chutework.ReportLifetime)

	return float64(m.unreadTokens) + weight*float64(w.others)
}

const (
	// defaultTokensPerMillisecond is the rate at which an upstream processes prompts until one was learned; it is
	// somewhat below the engines' data sheets.
	defaultTokensPerMillisecond = 25.0
	// firstEventOverhead is the time to a first event besides processing prompts.
	firstEventOverhead = 60 * time.Millisecond
	// newestRateWeight is the weight of the newest call in a pool's learned rate.
	newestRateWeight = 1.0 / 32
	// minRateTokens is the number of prompt tokens from which on a call says something about the rate: the rest of the time to
	// the first event is short beside processing them.
	minRateTokens = 2000
	// maxOutstandingDivisor is the part of a call's tokens, a quarter, that may be outstanding before it for the same.
	maxOutstandingDivisor = 4
	// minRate and maxRate bound a learned rate in tokens per millisecond.
	minRate, maxRate = 1.0, 1000.0
)

// ExpectedFirstEvent returns the time until an upstream is expected to begin the answer to a call with tokens to process;
// false unless its pool is placed by work.
func (f Fleet) ExpectedFirstEvent(id string, tokens int64, now time.Time) (time.Duration, bool) {
	m, ok := f.members.Get(id)
	if !ok || !f.PlacesByWork(m.Pool) {
		return 0, false
	}
	w, _ := f.work.Get(id)
	ms := (w.outstandingTokens(m, now) + float64(tokens)) / f.rate(m.Pool) / f.speedOf(m, w) * w.paceFactor(now)

	return firstEventOverhead + time.Duration(ms*float64(time.Millisecond)), true
}

// WithFirstEvent learns a pool's rate from a call with tokens to process that took some time until its first event. A call with
// much outstanding before it says nothing: engines that interleave prompts begin a short one before a long one.
func (f Fleet) WithFirstEvent(id string, tokens, outstanding int64, took time.Duration) Fleet {
	m, ok := f.members.Get(id)
	if !ok || !f.PlacesByWork(m.Pool) || tokens < minRateTokens || outstanding > tokens/maxOutstandingDivisor || took <= 0 {
		return f
	}
	sample := float64(tokens+outstanding) / (float64(took) / float64(time.Millisecond)) / f.speed(m)
	pool := f.workPools[m.Pool]
	rate := f.rate(m.Pool)
	pool.rate = rate * math.Pow(min(max(minRate, sample), maxRate)/rate, newestRateWeight)

	return f.withPoolWork(m.Pool, pool)
}

// rate returns the rate at which upstreams of a pool with the mean speed process prompts, in tokens per millisecond.
func (f Fleet) rate(pool string) float64 {
	if learned := f.workPools[pool].rate; learned > 0 {
		return learned
	}

	return defaultTokensPerMillisecond
}

// OutstandingTokens returns the prompt tokens that an upstream has not processed, as far as known.
func (f Fleet) OutstandingTokens(id string, now time.Time) int64 {
	m, ok := f.members.Get(id)
	if !ok {
		return 0
	}

	return int64(f.outstandingTokens(m, now))
}

// WorkView is what is known of the outstanding work of an upstream, for a state dump.
type WorkView struct {
	// Outstanding is the number of prompt tokens that it has not processed, Calls the number of calls there, of all nodes.
	Outstanding int64
	Calls       int
	// Speed is relative to its pool's mean, Pace how long work takes at the moment as a multiple of the usual time.
	Speed float64
	Pace  float64
	// EventInterval is the learned time between two events of a stream; 0 if it is unknown.
	EventInterval time.Duration
}

func (f Fleet) workView(m *member, now time.Time) *WorkView {
	w, _ := f.work.Get(m.ID)

	return &WorkView{
		Outstanding: int64(w.outstandingTokens(m, now)), Calls: m.inFlight + w.calls, Speed: f.speedOf(m, w), Pace: w.paceFactor(now),
		EventInterval: time.Duration(w.interval().ms * float64(time.Millisecond)),
	}
}

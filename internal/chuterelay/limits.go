package chuterelay

import (
	"math"
	"time"

	"github.com/benbjohnson/immutable"

	"azurechute.example/azurechute/internal/chutefleet"
)

const (
	// unreadableLimit is the rate, a second, that counts for an upstream that names a limit for
	// the first time and in a way that can't be read: it is in need.
	unreadableLimit = 1.0
	// tellLimitEvery is the least time between two words of this node on one upstream's limit,
	// and tellLimitStep the part by which it has to change: an upstream may name another
	// one in each answer.
	tellLimitEvery = time.Second
	tellLimitStep  = 0.25
	// longestLimitWait bounds the time after which a caller comes back to a pool whose upstreams
	// are at their limits: by then other nodes may send again what they own of them.
	longestLimitWait = 2 * time.Second
	// maxLimitsTold bounds the words that are remembered; beyond, all are forgotten and told anew.
	maxLimitsTold = 8192
)

// toldLimit is a word on an upstream's limit and when it was told or heard.
type toldLimit struct {
	chutefleet.LimitRecord

	at time.Time
}

// noteLimit takes in what the answer to a call says of its upstream's limit.
func (st *step) noteLimit(u chutefleet.Upstream, limit *Limit, sentAt time.Time) {
	if limit == nil {
		return
	}
	before, limited := st.fleet.Limit(u.ID)
	if limited || limit.Named {
		// Nodes that have left the list lose their part some time after that.
		st.fleet = st.fleet.WithLimitOwners(st.peers.sharers(st.now))
	}
	switch {
	case limit.Named:
		st.fleet = st.fleet.WithLimit(u.ID, limit.PerSecond, sentAt, st.now)
	case limit.Unreadable == "":
		st.fleet = st.fleet.WithoutLimit(u.ID, sentAt)
	case !limited:
		st.fleet = st.fleet.WithLimit(u.ID, unreadableLimit, sentAt, st.now)
	}
	st.noteLimitChange(u, before, limited, NoteLimit{Unreadable: limit.Unreadable})
	st.tellLimit(u)
}

// noteLimitChange logs an upstream's limit if it has changed.
func (st *step) noteLimitChange(u chutefleet.Upstream, before chutefleet.Limit, limited bool, note NoteLimit) {
	note.Upstream = u
	note.Limit, note.Limited = st.fleet.Limit(u.ID)
	if limited != note.Limited || before.PerSecond != note.Limit.PerSecond {
		st.do(note)
	}
}

// tellLimit tells the other nodes of an upstream's limit, if it differs from the last word on it.
//
// A node learns of a limit from answers only. Without a word from others each of hundreds sends
// an upstream in need one call to find out, and those that send it nothing take the limit for
// lasting when it is over.
func (st *step) tellLimit(u chutefleet.Upstream) {
	limit, limited := st.fleet.Limit(u.ID)
	last, told := st.limitsTold.Get(u.ID)
	news := limited != last.Limited || math.Abs(limit.PerSecond-last.PerSecond) > tellLimitStep*last.PerSecond
	if !news || told && st.now.Sub(last.at) < tellLimitEvery {
		return
	}
	word := chutefleet.LimitRecord{
		Upstream: u.ID, Limited: limited, PerSecond: limit.PerSecond, Teller: st.settings.Self.Name, At: st.now.UnixMilli(),
	}
	st.rememberLimit(word)
	st.do(TellLimit{Word: word})
}

func (st *step) rememberLimit(word chutefleet.LimitRecord) {
	if st.limitsTold.Len() >= maxLimitsTold {
		st.limitsTold = immutable.NewMap[string, toldLimit](nil)
	}
	st.limitsTold = st.limitsTold.Set(word.Upstream, toldLimit{LimitRecord: word, at: st.now})
}

// hearLimits takes in what other nodes tell of upstreams' limits.
func (st *step) hearLimits(words []chutefleet.LimitRecord) {
	for _, word := range words {
		if word.Teller == st.settings.Self.Name {
			continue
		}
		st.rememberLimit(word)
		st.takeLimitWord(word)
	}
}

// takeLimitWord takes in a word on the limit of an upstream, if that is listed.
func (st *step) takeLimitWord(word chutefleet.LimitRecord) {
	u, listed := st.fleet.Get(word.Upstream)
	if !listed {
		return
	}
	before, limited := st.fleet.Limit(u.ID)
	if word.Limited {
		st.fleet = st.fleet.WithLimit(u.ID, word.PerSecond, st.now, st.now)
	} else {
		st.fleet = st.fleet.WithoutLimit(u.ID, st.now)
	}
	st.noteLimitChange(u, before, limited, NoteLimit{Teller: word.Teller})
}

// recallLimits takes in what was told of the limits of upstreams that were not listed before.
func (st *step) recallLimits(before chutefleet.Fleet) {
	for i := st.limitsTold.Iterator(); !i.Done(); {
		id, told, _ := i.Next()
		if _, known := before.Get(id); !known {
			st.takeLimitWord(told.LimitRecord)
		}
	}
}

// limitedAtCall says whether all upstreams of the request's pool will be at their limits, as far as
// this node may send them calls, when its stages are done: what those made would be for nothing.
func (st *step) limitedAtCall(r request) bool {
	opens, limited := st.fleet.AvailableAt(r.pool, st.now)
	stages := time.Duration(0)
	for i := range r.stages {
		if !r.stages[i].done {
			stages += st.stageTime(r, i)
		}
	}

	return limited && opens.After(st.now.Add(stages))
}

// noneUsable refuses a request for want of an upstream. Where only limits are in the way, its caller
// may come back when this node may send the next call; another node may have one left.
func (st *step) noneUsable(pool string) Refusal {
	refusal := notRun("no upstream of pool " + pool + " can be used now: " + st.fleet.DescribeBlocked(pool, st.now))
	if opens, limited := st.fleet.AvailableAt(pool, st.now); limited {
		wait := min(longestLimitWait, max(soonRetry, opens.Sub(st.now)))
		refusal.RetryAfter = time.Duration((1 - retrySpread + 2*retrySpread*st.draw()) * float64(wait))
	}

	return refusal
}

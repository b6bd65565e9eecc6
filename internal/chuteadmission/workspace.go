package chuteadmission

import (
	"github.com/benbjohnson/immutable"
)

// item is a waiter with the order in which it came and the share that it is charged to.
type item struct {
	waiter Waiter
	seq    uint64
	sharer sharer
}

// sharer names the line in which a waiter stands; without fair sharing there is only the zero one.
type sharer struct {
	team            treapKey
	workspace       treapKey
	teamWeight      int
	workspaceWeight int
}

// rank is the item's place inside its workspace.
func (i *item) rank(fair bool) rank {
	if !fair {
		return rank{at: nanos(i.waiter.Since), seq: i.seq}
	}
	r := rank{at: nanos(i.waiter.Deadline), seq: i.seq}
	if !i.waiter.Started {
		// Among equal deadlines, work that has already cost goes first.
		r.seq |= notStarted
	}

	return r
}

// notStarted puts a rank behind all those of equal time without it.
const notStarted = 1 << 63

// latestStart ranks by the last moment at which the waiter can still start and finish in time.
func (i *item) latestStart() rank {
	at := nanos(i.waiter.Deadline)
	if at != never {
		at -= int64(i.waiter.Needs)
	}

	return rank{at: at, seq: i.seq}
}

// line is the waiting work of one workspace in one pool, earliest deadline first.
type line struct {
	items *immutable.SortedMap[rank, *item]
}

func (l line) backlog() int {
	if l.items == nil {
		return 0
	}

	return l.items.Len()
}

func (l line) with(i *item, fair bool) line {
	if l.items == nil {
		l.items = immutable.NewSortedMap[rank, *item](rankComparer{})
	}

	return line{items: l.items.Set(i.rank(fair), i)}
}

func (l line) without(i *item, fair bool) line {
	items := l.items.Delete(i.rank(fair))
	if items.Len() == 0 {
		return line{}
	}

	return line{items: items}
}

// first returns the item with the earliest deadline; the line must not be empty.
func (l line) first() *item {
	_, i, _ := l.items.Iterator().Next()

	return i
}

// walkLimit bounds how many items before counts one by one.
const walkLimit = 32

// before estimates how many items go before one with the given rank: exact for
// the first few, then by where the rank lies between the first and the last.
func (l line) before(r rank) int {
	n := l.backlog()
	if n == 0 {
		return 0
	}
	itr := l.items.Iterator()
	earliest := int64(0)
	for i := range min(n, walkLimit) {
		at, _, _ := itr.Next()
		if i == 0 {
			earliest = at.at
		}
		if r.less(at) {
			return i
		}
	}
	if n <= walkLimit {
		return n
	}
	itr.Last()
	last, _, _ := itr.Prev()
	if r.at >= last.at || last.at == earliest {
		return n
	}
	part := float64(r.at-earliest) / float64(last.at-earliest)

	return max(walkLimit, int(part*float64(n)))
}

package chuteroom

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

const (
	// workHalfLife is the half-life of recent work. Shorter, one heavy prompt would put a workspace above its share, and
	// its next one would meet an empty record; longer, a burst would be held against its workspace after it has ended.
	workHalfLife = 3 * time.Second
	// workWindow is the time for which constant work adds up to the decayed sum: the half-life divided by ln 2.
	workWindow = workHalfLife * 1443 / 1000
	// maxWorkspaces bounds the workspaces that are stored; 4,096 take less than 1 MB. The others count as having sent
	// nothing.
	maxWorkspaces = 4096
	// targetWindow is how long the shortest target time of the pool's callers is used after the last call with it.
	targetWindow = 3 * time.Second
)

// Pool is the recent work of a pool at one node, by workspace. It is immutable.
type Pool struct {
	workspaces *immutable.Map[string, usage]
	// admitted is the decayed work of all workspaces.
	admitted decayed
	demands  demands
	// target is the shortest target time of recent calls, as of targetAt.
	target   time.Duration
	targetAt time.Time
	counts   Counts
}

// Counts counts the decisions on calls to a pool since the process started.
type Counts struct {
	Admitted  uint64
	TooLate   uint64
	OverShare uint64
}

// decayed is a number of tokens as of a time, decaying with workHalfLife.
type decayed struct {
	tokens float64
	at     time.Time
}

// valueAt returns the tokens that are left at a time. A clock that goes backwards leaves them unchanged.
func (d decayed) valueAt(now time.Time) float64 {
	return d.tokens * math.Exp2(-float64(max(0, now.Sub(d.at)))/float64(workHalfLife))
}

func (d decayed) with(tokens float64, now time.Time) decayed {
	return decayed{tokens: d.valueAt(now) + tokens, at: now}
}

// usage is the recent work of one workspace: what its calls demanded, and what of it was admitted.
type usage struct {
	demanded decayed
	admitted decayed
}

// NewPool returns a pool without recent work.
func NewPool() Pool {
	return Pool{workspaces: immutable.NewMap[string, usage](nil)}
}

// WithWork records a call that is sent without a decision, such as a resumed stream. A call counts as one token at least.
func (p Pool) WithWork(workspace string, tokens int64, now time.Time) Pool {
	return p.withDemand(workspace, tokens, now).withAdmitted(workspace, tokens, now)
}

// Counts returns the decisions so far.
func (p Pool) Counts() Counts {
	return p.counts
}

// Work returns the tokens that a workspace has in progress: those of its admitted calls, decayed.
func (p Pool) Work(workspace string, now time.Time) float64 {
	u, _ := p.workspaces.Get(workspace)

	return u.admitted.valueAt(now)
}

// demanded returns the tokens that a workspace's calls demanded, decayed.
func (p Pool) demanded(workspace string, now time.Time) float64 {
	u, _ := p.workspaces.Get(workspace)

	return u.demanded.valueAt(now)
}

func (p Pool) withDemand(workspace string, tokens int64, now time.Time) Pool {
	u, known := p.workspaces.Get(workspace)
	if !known && p.workspaces.Len() >= maxWorkspaces {
		p = p.withoutSmallest(now)
	}
	u.demanded = u.demanded.with(float64(max(1, tokens)), now)
	p.workspaces = p.workspaces.Set(workspace, u)

	return p
}

func (p Pool) withAdmitted(workspace string, tokens int64, now time.Time) Pool {
	u, _ := p.workspaces.Get(workspace)
	u.admitted = u.admitted.with(float64(max(1, tokens)), now)
	p.workspaces = p.workspaces.Set(workspace, u)
	p.admitted = p.admitted.with(float64(max(1, tokens)), now)

	return p
}

// withoutSmallest removes the half of the workspaces with the least recent demand. What remains is shared among the others.
func (p Pool) withoutSmallest(now time.Time) Pool {
	type entry struct {
		name   string
		demand float64
		usage
	}
	all := make([]entry, 0, p.workspaces.Len())
	for i := p.workspaces.Iterator(); !i.Done(); {
		name, u, _ := i.Next()
		all = append(all, entry{name: name, demand: u.demanded.valueAt(now), usage: u})
	}
	slices.SortFunc(all, func(a, b entry) int { return cmp.Or(cmp.Compare(b.demand, a.demand), cmp.Compare(a.name, b.name)) })
	kept := immutable.NewMapBuilder[string, usage](nil)
	admitted := 0.0
	for _, e := range all[:len(all)/2] {
		kept.Set(e.name, e.usage)
		admitted += e.admitted.valueAt(now)
	}
	p.workspaces = kept.Map()
	p.admitted = decayed{tokens: admitted, at: now}

	return p
}

// withTarget records the target time of a call.
func (p Pool) withTarget(target time.Duration, now time.Time) Pool {
	if target > 0 && (target <= p.target || p.target == 0 || now.Sub(p.targetAt) >= targetWindow) {
		p.target, p.targetAt = target, now
	}

	return p
}

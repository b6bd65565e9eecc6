package chuteadmission

import "time"

const (
	// timeWeight is the weight of the newest call in the pool's mean time.
	timeWeight = 0.1
	// assumedCost is charged for a call while nothing better is known of the pool.
	assumedCost = 100 * time.Millisecond
)

// team is the waiting work of one team in one pool; immutable.
type team struct {
	workspaces level[line]
	count      int
}

func (t *team) backlog() int {
	if t == nil {
		return 0
	}

	return t.count
}

// pool is the waiting work of one pool; immutable.
type pool struct {
	teams level[*team]
	count int
	// inFlight counts the picked work that is not yet done.
	inFlight int
	// took is the mean time of a call, in nanoseconds; the assumed one until there are samples.
	took    float64
	samples int
}

// cost is the estimated time of one call, in nanoseconds.
func (p pool) cost() int64 {
	if p.took <= 0 {
		return int64(assumedCost)
	}

	return max(int64(p.took), 1)
}

// path leads to one workspace's share of a pool; its parts are copies that may be changed until it is filed.
type path struct {
	team      member[*team]
	inside    team
	workspace member[line]
}

func (p pool) path(s *sharer) path {
	at := path{team: p.teams.get(s.team, s.teamWeight)}
	if at.team.body != nil {
		at.inside = *at.team.body
	}
	at.workspace = at.inside.workspaces.get(s.workspace, s.workspaceWeight)

	return at
}

// filed returns the pool with the path's changes in place.
func (p pool) filed(at *path, added int) pool {
	at.inside.workspaces = at.inside.workspaces.put(at.workspace)
	at.inside.count += added
	inside := at.inside
	at.team.body = &inside
	p.teams = p.teams.put(at.team)
	p.count += added
	// A busy period ends when nothing waits and nothing runs: debts end with it.
	if p.count == 0 && p.inFlight == 0 {
		p.teams = level[*team]{}
	}

	return p
}

func (p pool) with(i *item, fair bool) pool {
	at := p.path(&i.sharer)
	at.team.weight = int64(max(i.sharer.teamWeight, 1))
	at.workspace.weight = int64(max(i.sharer.workspaceWeight, 1))
	at.workspace.body = at.workspace.body.with(i, fair)

	return p.filed(&at, 1)
}

func (p pool) without(i *item, fair bool) pool {
	at := p.path(&i.sharer)
	at.workspace.body = at.workspace.body.without(i, fair)

	return p.filed(&at, -1)
}

// picked takes out the item, and charges its estimated cost to its workspace and team.
func (p pool) picked(i *item, fair bool) pool {
	cost := p.cost()
	at := p.path(&i.sharer)
	at.workspace.body = at.workspace.body.without(i, fair)
	at.inside.workspaces = at.inside.workspaces.charge(&at.workspace, cost)
	p.teams = p.teams.charge(&at.team, cost)
	p.inFlight++

	return p.filed(&at, -1)
}

// done settles the share of one picked call that took the given time; zero means that it never ran.
func (p pool) done(s *sharer, took time.Duration) pool {
	p.inFlight = max(0, p.inFlight-1)
	at := p.path(s)
	at.workspace.settle(took)
	at.team.settle(took)
	p = p.filed(&at, 0)
	if took <= 0 {
		return p
	}
	p.samples++
	weight := max(timeWeight, 1/float64(p.samples))
	p.took += weight * (float64(took) - p.took)

	return p
}

// first returns the item whose turn it is.
func (p pool) first() *item {
	t := p.teams.first()
	if t == nil {
		return nil
	}

	return t.body.workspaces.first().body.first()
}

// wait estimates how long an item that comes now would wait for a slot.
//
// By Little's law the pool drains, for this node, as many calls per mean time
// as it has running or free for it. The item waits until its own workspace's
// share of that has served those before it, but never longer than until all
// that waits has been served.
func (p pool) wait(i *item, free int, fair bool) time.Duration {
	ahead := p.count + 1 - free
	if ahead <= 0 {
		return 0
	}
	each := float64(p.cost()) / float64(max(p.inFlight+free, 1))
	at := p.path(&i.sharer)
	own := float64(at.workspace.body.before(i.rank(fair)) + 1)
	own /= p.teams.share(&at.team, i.sharer.teamWeight)
	own /= at.inside.workspaces.share(&at.workspace, i.sharer.workspaceWeight)

	return time.Duration(min(float64(ahead), own) * each)
}

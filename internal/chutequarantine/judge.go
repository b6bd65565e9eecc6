package chutequarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// sure is the number of ends from which on a request is set aside. Two can befall a
	// request whose caller came back once, with one upstream after another failing.
	sure = 3
	// surePair is the same where another request ran at all of these ends too, so that
	// one of the two is innocent: one end more mostly tells them apart.
	surePair = 4
	// together is the time within which ends count as one event. A rack that loses its
	// power ends many upstreams, and nodes hear of it within one call's time to each.
	together = 250 * time.Millisecond
	// mostTogether is how much one event counts if the request ran at every upstream that
	// ended in it: more than one end, as a request that was sent to several upstreams at
	// once may have ended them all, but not enough by itself, as a request that many
	// callers send runs at every upstream when all of them lose their power.
	mostTogether = 2
	// settle is how old an event is when it is judged: by then all ends of it are known,
	// and all nodes have told their suspects.
	settle = together + 50*time.Millisecond
)

// JudgeAt is when there is something to judge; zero if there is nothing.
func (q Quarantine) JudgeAt() time.Time {
	return q.judgeAt
}

// Judge sets aside the requests that the crashes speak against, and returns these
// judgements; seen has the fingerprints among them of which this node saw an end itself.
//
// Whoever has most ends comes first. A crash at which it ran is put down to it and counts
// no more against those that stood beside it, so that they come free.
func (q Quarantine) Judge(now time.Time) (judgedNow Quarantine, fresh []Judgement, seen map[string]bool) {
	if q.judgeAt.IsZero() || now.Before(q.judgeAt) {
		return q, nil, nil
	}
	seen = map[string]bool{}
	var events map[string]*event
	events, q.judgeAt = q.events(now)
	suspects := q.repeated()
	for {
		next := q.nextVerdicts(suspects, events)
		if len(next) == 0 {
			q.unjudged = q.suspectsSince(q.judgeAt)

			return q, fresh, seen
		}
		for _, j := range next {
			for _, u := range j.Upstreams {
				c, _ := q.crashes.Get(u)
				seen[j.Fingerprint] = seen[j.Fingerprint] || c.own
			}
			q, _ = q.WithJudgement(j, now)
		}
		fresh = append(fresh, next...)
	}
}

// event is a set of ends that happened together.
type event struct {
	began time.Time
	ends  int
}

// events groups the crashes by when they were heard of, and returns each one's event, and
// when the next event is to be judged; zero if all can be. Those that can't are left out.
func (q Quarantine) events(now time.Time) (of map[string]*event, next time.Time) {
	all := make([]crash, 0, q.crashes.Len())
	for i := q.crashes.Iterator(); !i.Done(); {
		_, c, _ := i.Next()
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b crash) int {
		return cmp.Or(a.heardAt.Compare(b.heardAt), cmp.Compare(a.Upstream, b.Upstream))
	})
	of = map[string]*event{}
	var last *event
	for _, c := range all {
		if last == nil || c.heardAt.Sub(last.began) >= together {
			last = &event{began: c.heardAt}
		}
		if at := last.began.Add(settle); now.Before(at) {
			return of, at
		}
		last.ends++
		of[c.Upstream] = last
	}

	return of, time.Time{}
}

// nextVerdicts returns judgements on the request with most ends, and on those that can't be told
// from it; none if no request has enough.
func (q Quarantine) nextVerdicts(suspects []string, events map[string]*event) []Judgement {
	var candidates []candidate
	for _, fingerprint := range suspects {
		if _, held := q.QuarantinedUntil(fingerprint); held {
			continue
		}
		at := q.EvidenceAgainst(fingerprint)
		if n := weigh(at, events); n >= sure {
			candidates = append(candidates, candidate{upstreams: at, weight: n})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
	for _, a := range candidates {
		alike := q.beside(a.upstreams)
		if len(alike) > 1 && a.weight < surePair {
			continue
		}
		all := make([]Judgement, 0, len(alike))
		for _, s := range alike {
			all = append(all, Judgement{Suspect: s, Verdict: VerdictQuarantined, Upstreams: a.upstreams})
		}

		return all
	}

	return nil
}

// candidate is a request with enough ends, by what speaks against it.
type candidate struct {
	upstreams []string
	weight    int
}

// weigh counts ends, those of one event as one or two.
func weigh(upstreams []string, events map[string]*event) int {
	ends := map[*event]int{}
	for _, u := range upstreams {
		if e, ok := events[u]; ok {
			ends[e]++
		}
	}
	sum := 0
	for e, n := range ends {
		if n < e.ends {
			n = 1
		}
		sum += min(n, mostTogether)
	}

	return sum
}

// suspectsSince lists the requests of the crashes that are judged at a time or later; none if
// it is zero.
func (q Quarantine) suspectsSince(judgeAt time.Time) []string {
	if judgeAt.IsZero() {
		return nil
	}
	var all []string
	for i := q.crashes.Iterator(); !i.Done(); {
		_, c, _ := i.Next()
		if c.heardAt.Add(settle).Before(judgeAt) {
			continue
		}
		for _, s := range c.Suspects {
			all = append(all, s.Fingerprint)
		}
	}

	return all
}

// repeated lists the requests that became suspects of late and have enough ends, by fingerprint.
func (q Quarantine) repeated() []string {
	var all []string
	for _, fingerprint := range q.unjudged {
		if at, _ := q.crashesOf.Get(fingerprint); len(at) >= sure {
			all = append(all, fingerprint)
		}
	}
	slices.Sort(all)

	return slices.Compact(all)
}

// beside lists the requests that ran at all of some ends, by fingerprint, as far as all of
// these still speak against them.
func (q Quarantine) beside(upstreams []string) []Suspect {
	first, _ := q.crashes.Get(upstreams[0])
	var all []Suspect
	for _, s := range first.Suspects {
		against := q.EvidenceAgainst(s.Fingerprint)
		if !slices.ContainsFunc(upstreams, func(u string) bool { return !slices.Contains(against, u) }) {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })

	return all
}

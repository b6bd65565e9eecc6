package chutequarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// sure is the number of ends from which on a request is set aside. Two can befall a
	// request whose caller came back once, with one upstream after another failing.
	minCrashes = 3
	// surePair is the same where another request ran at all of these ends too, so that
	// one of the two is innocent: one end more mostly tells them apart.
	minCrashesOfPair = 4
	// together is the time within which ends count as one event. A rack that loses its
	// power ends many upstreams, and nodes hear of it within one call's time to each.
	incidentWindow = 250 * time.Millisecond
	// mostTogether is how much one event counts if the request ran at every upstream that
	// ended in it: more than one end, as a request that was sent to several upstreams at
	// once may have ended them all, but not enough by itself, as a request that many
	// callers send runs at every upstream when all of them lose their power.
	maxIncidentWeight = 2
	// settle is how old an event is when it is judged: by then all ends of it are known,
	// and all nodes have told their suspects.
	judgeDelay = incidentWindow + 50*time.Millisecond
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
func (q Quarantine) Judge(now time.Time) (judged Quarantine, judgements []Judgement, observed map[string]bool) {
	if q.judgeAt.IsZero() || now.Before(q.judgeAt) {
		return q, nil, nil
	}
	observed = map[string]bool{}
	var incidents map[string]*incident
	incidents, q.judgeAt = q.incidents(now)
	suspects := q.frequentSuspects()
	for {
		next := q.nextJudgements(suspects, incidents)
		if len(next) == 0 {
			q.newSuspects = q.suspectsJudgedSince(q.judgeAt)

			return q, judgements, observed
		}
		for _, j := range next {
			for _, u := range j.Upstreams {
				c, _ := q.crashes.Get(u)
				observed[j.Fingerprint] = observed[j.Fingerprint] || c.observed
			}
			q, _ = q.WithJudgement(j, now)
		}
		judgements = append(judgements, next...)
	}
}

// event is a set of ends that happened together.
type incident struct {
	startedAt time.Time
	crashes   int
}

// events groups the crashes by when they were heard of, and returns each one's event, and
// when the next event is to be judged; zero if all can be. Those that can't are left out.
func (q Quarantine) incidents(now time.Time) (byUpstream map[string]*incident, next time.Time) {
	all := make([]crashRecord, 0, q.crashes.Len())
	for i := q.crashes.Iterator(); !i.Done(); {
		_, c, _ := i.Next()
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b crashRecord) int {
		return cmp.Or(a.reportedAt.Compare(b.reportedAt), cmp.Compare(a.Upstream, b.Upstream))
	})
	byUpstream = map[string]*incident{}
	var last *incident
	for _, c := range all {
		if last == nil || c.reportedAt.Sub(last.startedAt) >= incidentWindow {
			last = &incident{startedAt: c.reportedAt}
		}
		if at := last.startedAt.Add(judgeDelay); now.Before(at) {
			return byUpstream, at
		}
		last.crashes++
		byUpstream[c.Upstream] = last
	}

	return byUpstream, time.Time{}
}

// nextVerdicts returns judgements on the request with most ends, and on those that can't be told
// from it; none if no request has enough.
func (q Quarantine) nextJudgements(suspects []string, incidents map[string]*incident) []Judgement {
	var candidates []candidate
	for _, fingerprint := range suspects {
		if _, quarantined := q.QuarantinedUntil(fingerprint); quarantined {
			continue
		}
		upstreams := q.EvidenceAgainst(fingerprint)
		if weight := evidenceWeight(upstreams, incidents); weight >= minCrashes {
			candidates = append(candidates, candidate{upstreams: upstreams, weight: weight})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
	for _, a := range candidates {
		indistinct := q.commonSuspects(a.upstreams)
		if len(indistinct) > 1 && a.weight < minCrashesOfPair {
			continue
		}
		all := make([]Judgement, 0, len(indistinct))
		for _, s := range indistinct {
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
func evidenceWeight(upstreams []string, incidents map[string]*incident) int {
	crashes := map[*incident]int{}
	for _, u := range upstreams {
		if inc, ok := incidents[u]; ok {
			crashes[inc]++
		}
	}
	sum := 0
	for inc, n := range crashes {
		if n < inc.crashes {
			n = 1
		}
		sum += min(n, maxIncidentWeight)
	}

	return sum
}

// suspectsSince lists the requests of the crashes that are judged at a time or later; none if
// it is zero.
func (q Quarantine) suspectsJudgedSince(judgeAt time.Time) []string {
	if judgeAt.IsZero() {
		return nil
	}
	var all []string
	for i := q.crashes.Iterator(); !i.Done(); {
		_, c, _ := i.Next()
		if c.reportedAt.Add(judgeDelay).Before(judgeAt) {
			continue
		}
		for _, s := range c.Suspects {
			all = append(all, s.Fingerprint)
		}
	}

	return all
}

// repeated lists the requests that became suspects of late and have enough ends, by fingerprint.
func (q Quarantine) frequentSuspects() []string {
	var all []string
	for _, fingerprint := range q.newSuspects {
		if upstreams, _ := q.upstreamsBySuspect.Get(fingerprint); len(upstreams) >= minCrashes {
			all = append(all, fingerprint)
		}
	}
	slices.Sort(all)

	return slices.Compact(all)
}

// beside lists the requests that ran at all of some ends, by fingerprint, as far as all of
// these still speak against them.
func (q Quarantine) commonSuspects(upstreams []string) []Suspect {
	first, _ := q.crashes.Get(upstreams[0])
	var all []Suspect
	for _, s := range first.Suspects {
		evidence := q.EvidenceAgainst(s.Fingerprint)
		if !slices.ContainsFunc(upstreams, func(u string) bool { return !slices.Contains(evidence, u) }) {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })

	return all
}

package chutequarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minCrashes is the number of crashes from which on a request is quarantined. Two can happen
	// to an innocent request that its caller sent again, while one upstream after another fails.
	minCrashes = 3
	// minCrashesOfPair is the same if another request was running at all of these crashes too, so
	// that one of the two is innocent: one more crash mostly tells them apart.
	minCrashesOfPair = 4
	// incidentWindow is the time within which crashes count as one incident. A rack that loses
	// power ends many upstreams, and nodes learn of each of them within the time of one call.
	incidentWindow = 250 * time.Millisecond
	// maxIncidentWeight is the number of crashes that one incident counts for if the request was
	// running at every upstream that crashed in it. It is not enough to quarantine a request by itself: one
	// that many callers send is running at every upstream when all of them lose power.
	maxIncidentWeight = 2
	// A request of which upstreams have survived minFrequentCalls calls in SurvivalWindow may be running at any
	// crash by chance. Such a crash is doubtful evidence against it if another suspect has frequentFactor times
	// fewer calls survived: it takes doubtfulCrashes of them to count for one.
	minFrequentCalls = 8
	frequentFactor   = 4
	doubtfulCrashes  = 4
	// SurvivalWindow is the time for which calls that upstreams survive are counted.
	SurvivalWindow = 10 * time.Second
	// lateReportDelay is how long after its last crash a request with minCrashes is not judged yet if it is likely
	// that reports on other suspects of these crashes are late, as those of a node that is frozen or cut off for a
	// moment: the request is frequent, or another one, of which upstreams have survived fewer calls, was running at
	// all but one of the crashes.
	lateReportDelay = 2 * time.Second
	// judgeDelay is the age at which an incident is judged. By then all of its crashes are known,
	// and all nodes have reported their suspects.
	judgeDelay = incidentWindow + 50*time.Millisecond
)

// JudgeAt returns when Judge has to be called next; zero if there is nothing to judge.
func (q Quarantine) JudgeAt() time.Time {
	return q.judgeAt
}

// Judge quarantines the requests that are found to cause crashes, and returns the judgements on
// them. observed holds the fingerprints of those for which this node observed a crash itself.
//
// The request with the most crashes is quarantined first, and among those the one of which upstreams have
// survived the fewest calls. Its crashes no longer count against others.
func (q Quarantine) Judge(now time.Time) (judged Quarantine, judgements []Judgement, observed map[string]bool) {
	if q.judgeAt.IsZero() || now.Before(q.judgeAt) {
		return q, nil, nil
	}
	observed = map[string]bool{}
	var incidents map[string]*incident
	incidents, q.judgeAt = q.incidents(now)
	suspects := q.frequentSuspects()
	for {
		next, postponed := q.nextJudgements(suspects, incidents, now)
		if len(next) == 0 {
			return q.withPostponed(postponed), judgements, observed
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

// withPostponed returns the quarantine after all that could be judged has been, with the requests that are to be
// judged later.
func (q Quarantine) withPostponed(postponed []candidate) Quarantine {
	q.newSuspects = q.suspectsJudgedSince(q.judgeAt)
	for _, p := range postponed {
		q = q.withJudgeAt(q.allReportedAt(p))
		q.newSuspects = append(q.newSuspects, p.fingerprint)
	}

	return q
}

// withJudgeAt has Judge called at a time, or earlier if that is due already.
func (q Quarantine) withJudgeAt(at time.Time) Quarantine {
	if q.judgeAt.IsZero() || at.Before(q.judgeAt) {
		q.judgeAt = at
	}

	return q
}

// incident is a set of crashes that happened at about the same time.
type incident struct {
	startedAt time.Time
	crashes   int
}

// incidents groups the crashes by the time of their first report. It returns the incident of each
// upstream, and when the next incident can be judged; zero if all can be now. Incidents that can't
// be judged yet are left out.
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

// nextJudgements returns judgements on the request with the most crashes and on those that can't be
// told apart from it; none if no request has enough crashes. A request that can't be told apart from
// another one needs minCrashesOfPair. The requests that are not judged yet because of lateReportDelay are
// returned too.
func (q Quarantine) nextJudgements(suspects []string, incidents map[string]*incident, now time.Time) (next []Judgement, postponed []candidate) {
	var candidates []candidate
	for _, fingerprint := range suspects {
		if _, quarantined := q.QuarantinedUntil(fingerprint); quarantined {
			continue
		}
		upstreams := q.EvidenceAgainst(fingerprint)
		if weight := q.weightAgainst(fingerprint, upstreams, incidents); weight >= minCrashes {
			candidates = append(candidates, candidate{
				fingerprint: fingerprint, upstreams: upstreams, weight: weight, survived: q.mostSurvived(fingerprint, upstreams),
			})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.survived, b.survived))
	})
	for _, a := range candidates {
		indistinct := q.commonSuspects(a)
		if len(indistinct) > 1 && a.weight < minCrashesOfPair {
			continue
		}
		if q.mayLackReports(a) && now.Before(q.allReportedAt(a)) {
			postponed = append(postponed, a)

			continue
		}
		all := make([]Judgement, 0, len(indistinct))
		for _, s := range indistinct {
			all = append(all, Judgement{Suspect: s, Verdict: VerdictQuarantined, Upstreams: a.upstreams})
		}

		return all, nil
	}

	return nil, postponed
}

// suspectsJudgedSince returns the fingerprints of the suspects of all crashes that are due to be
// judged at judgeAt or later; none if judgeAt is zero.
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

// frequentSuspects returns the sorted fingerprints of the new suspects that have at least minCrashes
// crashes.
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

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
	// someCrashes and manyCrashes are the numbers of crashes of one incident that count as two and as minCrashes
	// against a part of prompts that was never answered, while other parts of the same prompts were.
	someCrashes = 3
	manyCrashes = 5
	// maxCompared is the number of elements with the same evidence that are compared at a time: callers may invent
	// hundreds of parts. The others are judged after these.
	maxCompared = 32
	// watchWeight is the weight of the evidence from which on an answer to a part clears it at all nodes.
	watchWeight = minCrashes - 1
	// SurvivalWindow is the time for which calls that upstreams survive are counted.
	SurvivalWindow = 10 * time.Second
	// lateReportDelay is how long after its last crash a request with minCrashes is not judged yet if reports on
	// other suspects are likely late, as those of a frozen node: the request is frequent, or another one, of which
	// upstreams have survived fewer calls, ran at all but one of the crashes.
	lateReportDelay = 2 * time.Second
	// judgeDelay is the age at which an incident is judged. By then all of its crashes are known,
	// and all nodes have reported their suspects.
	judgeDelay = incidentWindow + 50*time.Millisecond
)

// JudgeAt returns when Judge has to be called next; zero if there is nothing to judge.
func (q Quarantine) JudgeAt() time.Time {
	return q.judgeAt
}

// Judge quarantines the requests and parts of prompts that are found to cause crashes, those with the most crashes
// first, and returns the judgements. observed holds the keys of those for which this node observed a crash itself.
func (q Quarantine) Judge(now time.Time) (judged Quarantine, judgements []Judgement, observed map[string]bool) {
	if q.judgeAt.IsZero() || now.Before(q.judgeAt) {
		return q, nil, nil
	}
	observed = map[string]bool{}
	var incidents map[string]*incident
	incidents, q.judgeAt = q.incidents(now)
	q = q.withWatchedSuspects(incidents)
	suspects := q.frequentSuspects(minCrashes)
	for {
		next, postponed := q.nextJudgements(suspects, incidents, now)
		if len(next) == 0 {
			return q.withPostponed(postponed), judgements, observed
		}
		known := len(judgements)
		for _, j := range next {
			for _, u := range j.Upstreams {
				c, _ := q.crashes.Get(u)
				observed[j.Fingerprint] = observed[j.Fingerprint] || c.observed
			}
			var isNew bool
			if q, isNew = q.WithJudgement(j, now); isNew {
				judgements = append(judgements, j)
			}
		}
		if len(judgements) == known {
			return q.withPostponed(nil), judgements, observed
		}
	}
}

// withPostponed returns the quarantine after all that could be judged has been, with the requests that are to be
// judged later.
func (q Quarantine) withPostponed(postponed []candidate) Quarantine {
	q.newSuspects = q.suspectsJudgedSince(q.judgeAt)
	for _, p := range postponed {
		q = q.withJudgeAt(q.allReportedAt(p))
		q.newSuspects = append(q.newSuspects, p.element)
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

// nextJudgements returns judgements on the element with the most crashes and on those that can't be told apart from
// it, which takes minCrashesOfPair; none if no element has enough. It returns the elements too that lateReportDelay
// postpones.
func (q Quarantine) nextJudgements(suspects []string, incidents map[string]*incident, now time.Time) (next []Judgement, postponed []candidate) {
	skipped := map[string]bool{}
	for _, a := range q.candidates(suspects, incidents) {
		if skipped[a.element] {
			continue
		}
		common := q.commonElements(a)
		a, companions := q.narrowest(a, common)
		others := slices.DeleteFunc(slices.Clone(common), func(e string) bool { return slices.Contains(companions, e) || q.isCompanion(e, a) })
		if len(others) > 0 && a.weight < minCrashesOfPair {
			for _, e := range common {
				skipped[e] = true
			}

			continue
		}
		// What upstreams have survived more often is judged by further crashes.
		others = slices.DeleteFunc(others, func(e string) bool { return q.mostSurvived(e, a.upstreams) > a.survived })
		if q.mayLackReports(a, companions) && now.Before(q.allReportedAt(a)) {
			postponed = append(postponed, a)

			continue
		}
		if all := q.verdictsOn(a, companions, others); len(all) > 0 {
			return all, nil
		}
	}

	return nil, postponed
}

// verdictsOn returns the quarantines of a candidate with its companions and of the others that can't be told apart from
// it, without those that WithJudgement would ignore.
func (q Quarantine) verdictsOn(a candidate, companions, others []string) []Judgement {
	all := []Judgement{q.newVerdict(a, companions)}
	for _, e := range others[:min(len(others), maxCompared)] {
		other := candidate{element: e, upstreams: a.upstreams}
		if j := q.newVerdict(other, q.companions(other, others)); !hasJudgement(all, j.Fingerprint) {
			all = append(all, j)
		}
	}

	return slices.DeleteFunc(all, func(j Judgement) bool { return !q.isProven(j) })
}

// narrowest returns which of the elements with the same evidence is always with the most others, and these: a verdict
// on all of them is on the fewest requests.
func (q Quarantine) narrowest(a candidate, common []string) (candidate, []string) {
	best, companions := a, q.companions(a, common)
	for _, e := range common[:min(len(common), maxCompared)] {
		if slices.Contains(companions, e) {
			continue
		}
		other := a
		other.element = e
		if more := q.companions(other, common); slices.Contains(more, a.element) && len(more) > len(companions) {
			best, companions = other, more
		}
	}

	return best, companions
}

// candidates returns the elements with enough crashes that are not all put down to verdicts, those with the most crashes
// first.
func (q Quarantine) candidates(suspects []string, incidents map[string]*incident) []candidate {
	var all []candidate
	for _, e := range suspects {
		upstreams := q.evidenceFor(e)
		if len(upstreams) < minCrashes || q.isJudged(upstreams) {
			continue
		}
		if weight := q.weightAgainst(e, upstreams, incidents); weight >= minCrashes {
			all = append(all, candidate{element: e, upstreams: upstreams, weight: weight, survived: q.mostSurvived(e, upstreams)})
		}
	}
	slices.SortStableFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.survived, b.survived))
	})

	return all
}

// isCompanion reports whether an element is in every suspect of a candidate's crashes that has the candidate, or the
// other way round.
func (q Quarantine) isCompanion(element string, a candidate) bool {
	other := a
	other.element = element

	return len(q.companions(other, []string{a.element})) > 0 || len(q.companions(a, []string{element})) > 0
}

func hasJudgement(all []Judgement, key string) bool {
	return slices.ContainsFunc(all, func(j Judgement) bool { return j.Fingerprint == key })
}

// newVerdict returns the quarantine of a candidate with its companions, which are sorted.
func (q Quarantine) newVerdict(a candidate, companions []string) Judgement {
	j := Judgement{Verdict: VerdictQuarantined, Upstreams: a.upstreams}
	workspaces, pools := map[string]bool{}, map[string]bool{}
	for _, u := range a.upstreams {
		c, _ := q.crashes.Get(u)
		pools[c.Pool] = true
		for _, s := range c.suspectsWith(a.element) {
			if j.Fingerprint == "" {
				j.Suspect = s.withoutParts()
				j.Fingerprint = verdictKey(companions)
			}
			workspaces[s.Workspace] = true
		}
	}
	if len(companions) > 1 || isPart(companions[0]) {
		j.Elements = companions
	}
	if j.IsOnParts() {
		// All nodes write the same judgement.
		j.Upstreams = slices.Sorted(slices.Values(a.upstreams))
		j.Workspaces, j.Pools = scopeOf(workspaces), scopeOf(pools)
	}

	return j
}

// withWatchedSuspects has answers clear the parts that are close to a quarantine.
func (q Quarantine) withWatchedSuspects(incidents map[string]*incident) Quarantine {
	for _, e := range q.frequentSuspects(watchWeight) {
		if isPart(e) && q.weightAgainst(e, q.evidenceFor(e), incidents) >= watchWeight {
			q.watched = q.watched.Set(e, struct{}{})
		}
	}

	return q
}

// suspectsJudgedSince returns the elements of the suspects of all crashes that are due to be
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
		all = append(all, c.elements()...)
	}

	return all
}

// frequentSuspects returns those of the new suspects that have at least a number of crashes, sorted.
func (q Quarantine) frequentSuspects(crashes int) []string {
	var all []string
	for _, e := range q.newSuspects {
		if upstreams, _ := q.upstreamsBySuspect.Get(e); len(upstreams) >= crashes {
			all = append(all, e)
		}
	}
	slices.Sort(all)

	return slices.Compact(all)
}

package chutequarantine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// candidate is the evidence against a request that has enough crashes.
type candidate struct {
	fingerprint string
	upstreams   []string
	weight      int
	// survived is the highest number of calls that upstreams had survived at one of the crashes.
	survived int
}

// weightAgainst returns the number of crashes that the ends of the given upstreams count for against a request.
func (q Quarantine) weightAgainst(fingerprint string, upstreams []string, incidents map[string]*incident) int {
	certain, doubtful := q.splitEvidence(fingerprint, upstreams)

	return evidenceWeight(certain, incidents) + evidenceWeight(doubtful, incidents)/doubtfulCrashes
}

// splitEvidence returns the upstreams whose crashes are certain evidence against a request, and the others.
func (q Quarantine) splitEvidence(fingerprint string, upstreams []string) (certain, doubtful []string) {
	for _, u := range upstreams {
		if q.isDoubtful(u, fingerprint) {
			doubtful = append(doubtful, u)
		} else {
			certain = append(certain, u)
		}
	}

	return certain, doubtful
}

// isDoubtful reports whether a request may have been running at a crash by chance: it is frequent, and another
// suspect is far less so.
func (q Quarantine) isDoubtful(upstream, fingerprint string) bool {
	c, _ := q.crashes.Get(upstream)
	survived, least := 0, math.MaxInt
	for _, s := range c.Suspects {
		if s.Fingerprint == fingerprint {
			survived = s.Survived
		} else {
			least = min(least, s.Survived)
		}
	}

	return survived >= minFrequentCalls && least <= survived/frequentFactor
}

// evidenceWeight returns the number of crashes that the ends of the given upstreams count for: one
// for each incident, or up to maxIncidentWeight if they are all crashes of the incident.
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

// mostSurvived returns the highest number of calls of a request that upstreams had survived at one of the crashes.
func (q Quarantine) mostSurvived(fingerprint string, upstreams []string) int {
	most := 0
	for _, u := range upstreams {
		c, _ := q.crashes.Get(u)
		most = max(most, c.survived(fingerprint))
	}

	return most
}

// commonSuspects returns the requests that can't be told apart from a candidate: they were running at the same
// crashes, as far as all of these still count against them, and are frequent at the same ones. They are sorted by
// fingerprint.
func (q Quarantine) commonSuspects(a candidate) []Suspect {
	first, _ := q.crashes.Get(a.upstreams[0])
	var all []Suspect
	for _, s := range first.Suspects {
		evidence := q.EvidenceAgainst(s.Fingerprint)
		differs := func(u string) bool {
			return !slices.Contains(evidence, u) || q.isDoubtful(u, s.Fingerprint) != q.isDoubtful(u, a.fingerprint)
		}
		if !slices.ContainsFunc(a.upstreams, differs) {
			s.Survived = 0
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })

	return all
}

// mayLackReports reports whether a candidate with few crashes is likely innocent, so that reports which show it may
// be late.
func (q Quarantine) mayLackReports(a candidate) bool {
	return len(a.upstreams) < minCrashesOfPair && (a.survived >= minFrequentCalls || q.hasRival(a.fingerprint, a.upstreams, 1))
}

// allReportedAt returns when all reports on the crashes of a candidate count as known.
func (q Quarantine) allReportedAt(a candidate) time.Time {
	var last time.Time
	for _, u := range a.upstreams {
		if c, _ := q.crashes.Get(u); c.reportedAt.After(last) {
			last = c.reportedAt
		}
	}

	return last.Add(lateReportDelay)
}

// hasRival reports whether another request, of which upstreams have survived fewer calls, was running at the crashes of
// a request, but for at most missing of them.
func (q Quarantine) hasRival(fingerprint string, upstreams []string, missing int) bool {
	crashes := map[string]int{}
	for _, u := range upstreams {
		c, _ := q.crashes.Get(u)
		for _, s := range c.Suspects {
			void, _ := q.voidEvidence.Get(s.Fingerprint)
			if s.Survived < c.survived(fingerprint) && !slices.Contains(void, u) {
				crashes[s.Fingerprint]++
			}
		}
	}
	for _, n := range crashes {
		if n >= len(upstreams)-missing {
			return true
		}
	}

	return false
}

package chutequarantine

import (
	"slices"
	"time"
)

// candidate is the evidence against an element that has enough crashes.
type candidate struct {
	element   string
	upstreams []string
	weight    int
	// survived is the highest number of calls that upstreams had survived at one of the crashes.
	survived int
}

// weightAgainst returns the number of crashes that the ends of the given upstreams count for against an element.
func (q Quarantine) weightAgainst(element string, upstreams []string, incidents map[string]*incident) int {
	certain, doubtful := q.splitEvidence(element, upstreams)
	if isPart(element) {
		// While a pool answers nothing, nothing tells the cause from a part that all requests share.
		doubtful = slices.DeleteFunc(doubtful, func(u string) bool { return !q.servesSince(u) })
	}
	sum := 0
	known, _ := q.upstreamsBySuspect.Get(element)
	withAttributed := byIncident(known, incidents)
	for inc, crashes := range byIncident(certain, incidents) {
		sum += max(incidentWeight(len(crashes), inc), q.partWeight(element, crashes, withAttributed[inc]))
	}
	doubts := 0
	for inc, crashes := range byIncident(doubtful, incidents) {
		doubts += incidentWeight(len(crashes), inc)
	}

	return sum + doubts/doubtfulCrashes
}

// byIncident groups upstreams that crashed by the incident; those whose incident is not judged yet are left out.
func byIncident(upstreams []string, incidents map[string]*incident) map[*incident][]string {
	groups := map[*incident][]string{}
	for _, u := range upstreams {
		if inc, ok := incidents[u]; ok {
			groups[inc] = append(groups[inc], u)
		}
	}

	return groups
}

// incidentWeight returns the number of crashes that an incident counts for against an element that was running at some of
// its crashes: one, or more if that are all.
func incidentWeight(crashes int, inc *incident) int {
	if crashes < inc.crashes {
		return 1
	}

	return min(crashes, maxIncidentWeight)
}

// partWeight returns the number of crashes that some of one incident count for against a part of prompts; 0 for a
// request. All of the incident at which the part was running are evidence then, also those put down to another
// verdict.
func (q Quarantine) partWeight(element string, upstreams, withAttributed []string) int {
	if !isPart(element) || len(upstreams) == 0 {
		return 0
	}
	answeredBeside := func(u string) bool {
		c, _ := q.crashes.Get(u)

		return slices.ContainsFunc(c.suspectsWith(element), func(s Suspect) bool { return len(s.Answered) > 0 })
	}
	crashes := count(withAttributed, answeredBeside)
	switch {
	case count(upstreams, answeredBeside) < 2 || crashes < someCrashes:
		return 1
	case crashes < manyCrashes:
		return maxIncidentWeight
	default:
		return minCrashes
	}
}

func count(list []string, matches func(string) bool) int {
	n := 0
	for _, item := range list {
		if matches(item) {
			n++
		}
	}

	return n
}

// splitEvidence returns the upstreams whose crashes are certain evidence against an element, and the others.
func (q Quarantine) splitEvidence(element string, upstreams []string) (certain, doubtful []string) {
	for _, u := range upstreams {
		if q.isDoubtful(u, element) {
			doubtful = append(doubtful, u)
		} else {
			certain = append(certain, u)
		}
	}

	return certain, doubtful
}

// isDoubtful reports whether an element may have been running at a crash by chance: it is a request that is frequent
// while another suspect is far less so, or a part that upstreams have answered before.
func (q Quarantine) isDoubtful(upstream, element string) bool {
	c, _ := q.crashes.Get(upstream)
	survived := c.survived(element)
	if isPart(element) || survived < minFrequentCalls {
		return isPart(element) && survived > 0
	}

	return slices.ContainsFunc(c.Suspects, func(s Suspect) bool {
		return s.Fingerprint != element && s.Survived <= survived/frequentFactor
	})
}

// mostSurvived returns the highest number of calls of an element that upstreams had survived at one of the crashes.
func (q Quarantine) mostSurvived(element string, upstreams []string) int {
	most := 0
	for _, u := range upstreams {
		c, _ := q.crashes.Get(u)
		most = max(most, c.survived(element))
	}

	return most
}

// commonElements returns the elements that have the same evidence against them as a candidate: the same crashes, as far
// as all of these still count, which are doubtful evidence against both or neither. They are sorted.
func (q Quarantine) commonElements(a candidate) []string {
	first, _ := q.crashes.Get(a.upstreams[0])
	var all []string
	for _, e := range first.elements() {
		known, _ := q.upstreamsBySuspect.Get(e)
		if !containsAll(known, a.upstreams) {
			continue
		}
		evidence := q.evidenceFor(e)
		differs := func(u string) bool { return q.isDoubtful(u, e) != q.isDoubtful(u, a.element) }
		if containsAll(evidence, a.upstreams) && !slices.ContainsFunc(a.upstreams, differs) {
			all = append(all, e)
		}
	}
	slices.Sort(all)

	return all
}

func containsAll(list, items []string) bool {
	return !slices.ContainsFunc(items, func(item string) bool { return !slices.Contains(list, item) })
}

// companions returns those of some elements that every suspect of the crashes has which has the candidate. Nothing shows
// which of them is the cause.
func (q Quarantine) companions(a candidate, elements []string) []string {
	var suspects []Suspect
	for _, u := range a.upstreams {
		c, _ := q.crashes.Get(u)
		suspects = append(suspects, c.suspectsWith(a.element)...)
	}

	return slices.DeleteFunc(slices.Clone(elements), func(e string) bool {
		return slices.ContainsFunc(suspects, func(s Suspect) bool { return !s.has(e) })
	})
}

// mayLackReports reports whether a candidate with few crashes is likely innocent, so that reports which show it may
// be late.
func (q Quarantine) mayLackReports(a candidate, companions []string) bool {
	return len(a.upstreams) < minCrashesOfPair && (a.survived >= minFrequentCalls || q.hasRival(a.element, companions, a.upstreams, 1))
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

// hasRival reports whether something else, of which upstreams have survived fewer calls, was running at the crashes of
// an element, but for at most missing of them. Its companions are no rivals.
func (q Quarantine) hasRival(element string, companions, upstreams []string, missing int) bool {
	crashes := map[string]int{}
	for _, u := range upstreams {
		c, _ := q.crashes.Get(u)
		survived := c.survived(element)
		if survived == 0 {
			continue
		}
		for _, e := range c.elements() {
			void, _ := q.voidEvidence.Get(e)
			if c.survived(e) < survived && !slices.Contains(companions, e) && !slices.Contains(void, u) {
				crashes[e]++
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

// Evidence returns when this node first heard of a crash that is evidence of a judgement, zero if it has heard of none, and
// at how many of the crashes upstreams had survived what the judgement is on.
func (q Quarantine) Evidence(j Judgement) (since time.Time, survived int) {
	for _, u := range j.Upstreams {
		c, ok := q.crashes.Get(u)
		if !ok {
			continue
		}
		if since.IsZero() || c.reportedAt.Before(since) {
			since = c.reportedAt
		}
		if slices.ContainsFunc(j.judgedElements(), func(e string) bool { return c.survived(e) > 0 }) {
			survived++
		}
	}

	return since, survived
}

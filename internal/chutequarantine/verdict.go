package chutequarantine

import (
	"slices"
	"time"
)

// VerdictOn returns the quarantine that a request is under which is to run in a pool, and until when it lasts; false if
// there is none.
func (q Quarantine) VerdictOn(s Suspect, pool string) (j Judgement, until time.Time, quarantined bool) {
	for _, key := range q.verdictKeys(s) {
		if known, _ := q.judgements.Get(key); known.covers(s, pool) {
			return known.Judgement, known.reportedAt.Add(TTL), true
		}
	}

	return Judgement{}, time.Time{}, false
}

// verdictKeys returns the keys of the quarantines on the request or on any part of its prompt.
func (q Quarantine) verdictKeys(s Suspect) []string {
	var keys []string
	if _, quarantined := q.QuarantinedUntil(s.Fingerprint); quarantined {
		keys = append(keys, s.Fingerprint)
	}
	if q.verdictsByPart.Len() == 0 {
		return keys
	}
	for _, part := range s.Parts {
		if more, ok := q.verdictsByPart.Get(part); ok {
			keys = append(keys, more...)
		}
	}

	return keys
}

// withVerdict adds what is looked up of a new quarantine.
func (q Quarantine) withVerdict(j Judgement) Quarantine {
	if j.IsOnParts() {
		for _, part := range j.judgedElements() {
			keys, _ := q.verdictsByPart.Get(part)
			if !slices.Contains(keys, j.Fingerprint) {
				q.verdictsByPart = q.verdictsByPart.Set(part, append(slices.Clip(keys), j.Fingerprint))
			}
		}
	}

	return q.withAttributions(j)
}

// withoutJudgement drops a judgement.
func (q Quarantine) withoutJudgement(j Judgement) Quarantine {
	q.judgements = q.judgements.Delete(j.Fingerprint)

	return q.withoutVerdict(j)
}

// withoutVerdict removes what is looked up of a quarantine that ends.
func (q Quarantine) withoutVerdict(j Judgement) Quarantine {
	if j.Verdict != VerdictQuarantined {
		return q
	}
	for _, e := range j.judgedElements() {
		keys, ok := q.verdictsByPart.Get(e)
		if !ok {
			continue
		}
		if keys = withoutItem(keys, j.Fingerprint); len(keys) > 0 {
			q.verdictsByPart = q.verdictsByPart.Set(e, keys)
		} else {
			q.verdictsByPart = q.verdictsByPart.Delete(e)
		}
	}

	return q.withAttributions(j)
}

// withAttributions works out again which verdicts the crashes of a verdict's elements are put down to.
func (q Quarantine) withAttributions(j Judgement) Quarantine {
	upstreams, _ := q.upstreamsBySuspect.Get(j.judgedElements()[0])
	for _, u := range upstreams {
		if c, ok := q.crashes.Get(u); ok {
			q.crashes = q.crashes.Set(u, c.withAttribution(q))
		}
	}

	return q
}

// withAttribution returns the crash with the verdicts that it is put down to: those on any of its suspects.
func (c crashRecord) withAttribution(q Quarantine) crashRecord {
	c.attributedTo = nil
	for _, s := range c.Suspects {
		for _, key := range q.verdictKeys(s) {
			if j, _ := q.judgements.Get(key); j.covers(s, c.Pool) && !slices.Contains(c.attributedTo, key) {
				c.attributedTo = append(slices.Clip(c.attributedTo), key)
			}
		}
	}

	return c
}

// isAttributedToOther reports whether a crash is put down to a verdict that is not on an element.
func (q Quarantine) isAttributedToOther(upstream, element string) bool {
	c, _ := q.crashes.Get(upstream)

	return slices.ContainsFunc(c.attributedTo, func(key string) bool {
		j, _ := q.judgements.Get(key)

		return !slices.Contains(j.judgedElements(), element)
	})
}

// isJudged reports whether all crashes that count against an element are put down to verdicts already.
func (q Quarantine) isJudged(upstreams []string) bool {
	return !slices.ContainsFunc(upstreams, func(u string) bool {
		c, _ := q.crashes.Get(u)

		return len(c.attributedTo) == 0
	})
}

// isExplained reports whether each crash of a quarantine on parts is put down to another quarantine too, which has crashes
// beside these. A part that was in the prompts of two causes by chance was running at the crashes of both.
func (q Quarantine) isExplained(j Judgement) bool {
	return j.IsOnParts() && !slices.ContainsFunc(j.Upstreams, func(u string) bool { return !q.hasOtherCause(u, j) })
}

// hasOtherCause reports whether a crash is put down to a quarantine on none of the elements of another one, with crashes that
// this one does not have.
func (q Quarantine) hasOtherCause(upstream string, j Judgement) bool {
	c, _ := q.crashes.Get(upstream)

	return slices.ContainsFunc(c.attributedTo, func(key string) bool {
		other, _ := q.judgements.Get(key)

		return !slices.ContainsFunc(other.judgedElements(), func(e string) bool { return slices.Contains(j.judgedElements(), e) }) &&
			!containsAll(j.Upstreams, other.Upstreams)
	})
}

// withoutExplained drops the quarantines whose crashes are explained by a new one and others.
func (q Quarantine) withoutExplained(by Judgement) Quarantine {
	upstreams, _ := q.upstreamsBySuspect.Get(by.judgedElements()[0])
	for _, u := range upstreams {
		c, _ := q.crashes.Get(u)
		for _, key := range c.attributedTo {
			if j, known := q.judgements.Get(key); known && key != by.Fingerprint && q.isExplained(j.Judgement) {
				q = q.withoutJudgement(j.Judgement)
			}
		}
	}

	return q
}

// isSame reports whether a judgement says nothing that is not known.
func (j Judgement) isSame(other Judgement) bool {
	return j.Verdict == other.Verdict && slices.Equal(j.Upstreams, other.Upstreams) &&
		slices.Equal(j.Workspaces, other.Workspaces) && slices.Equal(j.Pools, other.Pools)
}

// mergedWith returns a quarantine with what another node's judgement on the same elements adds: it holds where either
// of them does. Without the crashes of the other one it stays as it is.
func (j Judgement) mergedWith(other Judgement) Judgement {
	if !j.IsOnParts() {
		return other
	}
	merged := other
	merged.Workspaces, merged.Pools = mergedScope(j.Workspaces, other.Workspaces), mergedScope(j.Pools, other.Pools)
	if len(j.Upstreams) > len(other.Upstreams) {
		merged.Upstreams = j.Upstreams
	}

	return merged
}

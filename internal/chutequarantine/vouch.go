package chutequarantine

import "slices"

// MaxVouchDelay is the longest time that a node waits before it vouches for parts. Of all nodes that could do so, a few
// announce it before the others hear of it.
const MaxVouchDelay = judgeDelay / 2

// withVouching has this node vouch for those parts of a crash that it knows to be answered, from their second crash
// on.
func (q Quarantine) withVouching(c crashRecord) Quarantine {
	seen := map[string]bool{}
	for _, s := range c.Suspects {
		for _, part := range s.Answered {
			if !seen[part] && !slices.Contains(c.vouchedFor, part) && !q.answered.last(part).IsZero() {
				q = q.withVouchingFor(part)
			}
			seen[part] = true
		}
	}

	return q
}

// withVouchingFor has this node vouch for a part at all of its crashes, if there is more than one.
func (q Quarantine) withVouchingFor(part string) Quarantine {
	upstreams, _ := q.upstreamsBySuspect.Get(part)
	if len(upstreams) < watchWeight {
		return q
	}
	for _, u := range upstreams {
		if known, _ := q.crashes.Get(u); !slices.Contains(known.vouchedFor, part) && !slices.Contains(q.toVouch, u) {
			q.toVouch = append(slices.Clip(q.toVouch), u)
		}
	}

	return q
}

// MustVouch reports whether Vouch has to be called, after a random time up to MaxVouchDelay.
func (q Quarantine) MustVouch() bool {
	return len(q.toVouch) > 0
}

// Vouch returns reports to announce on crashes, with the parts that this node knows to be answered and no other node has
// told of meanwhile.
func (q Quarantine) Vouch() (Quarantine, []Crash) {
	var reports []Crash
	for _, u := range q.toVouch {
		c, known := q.crashes.Get(u)
		if !known {
			continue
		}
		c.Suspects = slices.Clone(c.Suspects)
		var vouching []Suspect
		for i, s := range c.Suspects {
			s = q.withAnswered(s)
			c.Suspects[i] = s
			unknown := slices.DeleteFunc(slices.Clone(s.Answered), func(part string) bool { return slices.Contains(c.vouchedFor, part) })
			if len(unknown) > 0 {
				vouching = append(vouching, s)
				c.vouchedFor = append(slices.Clip(c.vouchedFor), unknown...)
			}
		}
		q.crashes = q.crashes.Set(u, c)
		switch {
		case len(vouching) == 0:
		case c.observed:
			// The report takes the place of this node's earlier one.
			reports = append(reports, c.Crash)
		default:
			reports = append(reports, Crash{Upstream: u, Pool: c.Pool, Suspects: vouching})
		}
	}
	q.toVouch = nil

	return q, reports
}

// withVouchedFor returns the crash with the parts marked that a report tells of as answered.
func (c crashRecord) withVouchedFor(s Suspect) crashRecord {
	for _, part := range s.Answered {
		if !slices.Contains(c.vouchedFor, part) {
			c.vouchedFor = append(slices.Clip(c.vouchedFor), part)
		}
	}

	return c
}

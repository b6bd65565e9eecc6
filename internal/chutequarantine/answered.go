package chutequarantine

import (
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

const (
	// answeredTime is how long an answered part is remembered, at least. A pool that answers nothing for minutes must
	// not make suspect what all of its requests share.
	answeredTime = 5 * time.Minute
	// maxAnsweredParts is the number of parts above which the oldest ones are forgotten earlier: twice as many are
	// kept, some 100 bytes each.
	maxAnsweredParts = 8192
	// AnswerStartTime is how long an upstream has to go on after the first event of an answer for the request's parts to
	// count as answered, though the upstream crashes before the end.
	AnswerStartTime = 500 * time.Millisecond
)

// answerTimes holds when upstreams have last answered a part of prompts or a pool any request, to the second. It has
// those of the current period and of the one before. It is immutable.
type answerTimes struct {
	current, previous *immutable.Map[string, time.Time]
	periodEnd         time.Time
}

func newAnswerTimes() answerTimes {
	none := immutable.NewMap[string, time.Time](nil)

	return answerTimes{current: none, previous: none}
}

// with records an answer.
func (a answerTimes) with(name string, now time.Time) answerTimes {
	if !now.Before(a.periodEnd) || a.current.Len() >= maxAnsweredParts {
		a.previous = a.current
		a.current, a.periodEnd = immutable.NewMap[string, time.Time](nil), now.Add(answeredTime)
	}
	if last, known := a.current.Get(name); !known || now.Sub(last) >= time.Second {
		a.current = a.current.Set(name, now)
	}

	return a
}

// last returns when a part or pool was last answered; zero if that is not known.
func (a answerTimes) last(name string) time.Time {
	if at, ok := a.current.Get(name); ok {
		return at
	}
	at, _ := a.previous.Get(name)

	return at
}

// WithAnswer records that an upstream of a pool has answered a request, and returns the judgements that clear it and
// those parts of its prompt that are close to a quarantine or in one.
func (q Quarantine) WithAnswer(s Suspect, pool string, now time.Time) (Quarantine, []Judgement) {
	var cleared []Judgement
	if evidence := q.EvidenceAgainst(s.Fingerprint); len(evidence) > 0 {
		cleared = append(cleared, Judgement{Suspect: s.withoutParts(), Verdict: VerdictCleared, Upstreams: evidence})
	}
	for _, part := range s.Parts {
		if evidence := q.refutedEvidence(part, pool); len(evidence) > 0 {
			onPart := s.withoutParts()
			onPart.Fingerprint = part
			cleared = append(cleared, Judgement{Suspect: onPart, Verdict: VerdictCleared, Upstreams: evidence})
		}
	}
	q.poolAnswers = q.poolAnswers.with(pool, now)
	q = q.WithSurvivors(s, now)
	for _, j := range cleared {
		q, _ = q.WithJudgement(j, now)
	}

	return q, cleared
}

// WithSurvivors records parts that an upstream has begun to answer, without clearing them.
func (q Quarantine) WithSurvivors(s Suspect, now time.Time) Quarantine {
	for _, part := range s.Parts {
		q.answered = q.answered.with(part, now)
	}

	return q
}

// refutedEvidence returns the crashes that an answer of a pool's upstream to a part makes void; none unless the part
// is close to a quarantine or in one.
func (q Quarantine) refutedEvidence(part, pool string) []string {
	_, isWatched := q.watched.Get(part)
	_, isJudged := q.verdictsByPart.Get(part)
	if !isWatched && !isJudged {
		return nil
	}
	var evidence []string
	for _, u := range q.EvidenceAgainst(part) {
		if c, _ := q.crashes.Get(u); c.Pool == pool {
			evidence = append(evidence, u)
		}
	}

	return evidence
}

// withoutParts returns the request alone, as a judgement names it.
func (s Suspect) withoutParts() Suspect {
	s.Parts, s.Answered, s.Survived = nil, nil, 0

	return s
}

// withAnswered returns the suspect with those of its parts marked that this node knows to be answered.
func (q Quarantine) withAnswered(s Suspect) Suspect {
	for _, part := range s.Parts {
		if !q.answered.last(part).IsZero() {
			s = s.withAnsweredPart(part)
		}
	}

	return s
}

// evidenceFor returns the crashes that count against an element by what this node knows: those of a part that upstreams
// have answered since count no more.
func (q Quarantine) evidenceFor(element string) []string {
	return slices.DeleteFunc(q.EvidenceAgainst(element), func(u string) bool { return q.isAnsweredSince(u, element) })
}

// isAnsweredSince reports whether this node's upstreams have answered a part since a crash.
func (q Quarantine) isAnsweredSince(upstream, element string) bool {
	c, known := q.crashes.Get(upstream)

	return known && isPart(element) && q.answered.last(element).After(c.reportedAt)
}

// servesSince reports whether upstreams of a crash's pool have answered requests since.
func (q Quarantine) servesSince(upstream string) bool {
	c, _ := q.crashes.Get(upstream)

	return q.poolAnswers.last(c.Pool).After(c.reportedAt)
}

package chutequarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

const (
	// TTL is the time after which crashes and judgements expire. A poison request that is sent for
	// longer makes as many upstreams crash again after each expiry: three an hour. A request that
	// has become harmless, since a model was fixed, is accepted again after this time.
	TTL = time.Hour
	// maxCrashes is the maximum number of crashes that are kept; the oldest is dropped to make
	// room. Three times as many upstreams as the largest site has may end in one hour.
	maxCrashes = 2048
	// maxSuspects is the maximum number of suspects of one crash: the number of calls that an
	// engine runs at once.
	maxSuspects = 64
	// maxJudgements is the maximum number of judgements that are kept, about 300 bytes each. One of
	// the workspace with the most judgements is dropped to make room, so that a workspace that
	// sends thousands of poison requests displaces only its own judgements.
	maxJudgements = 4096
	// maxCrashParts is the number of parts of prompts that the suspects of one crash have, 20 bytes each in its row.
	maxCrashParts = 1024
	// maxParts is the number of parts of prompts that all crashes together have. The oldest crashes are dropped to make
	// room for parts that callers invent.
	maxParts = 65536
)

// Suspect identifies a request that was running at an upstream when the upstream crashed.
type Suspect struct {
	// Fingerprint is the same each time that the request is sent.
	Fingerprint string
	Workspace   string
	Pipeline    string
	// Parts are the elements of those parts of its prompt that other prompts may share.
	Parts []string `json:",omitempty"`
	// Answered are those of Parts that upstreams have answered, as far as the nodes know that report the crash.
	Answered []string `json:",omitempty"`
	// Survived is the number of its calls of the last SurvivalWindow, at the node that reports the crash, after
	// which the upstream's process went on.
	Survived int `json:",omitempty"`
}

// Crash describes the end of an upstream's process while it was running requests.
type Crash struct {
	// Upstream is the id of the upstream's incarnation that ended.
	Upstream string
	Pool     string
	Suspects []Suspect
}

// Verdict is the decision on a request.
type Verdict string

// The verdicts on a request.
const (
	// VerdictQuarantined: the request is not sent to any upstream.
	VerdictQuarantined Verdict = "Quarantined"
	// VerdictCleared: an upstream has answered the request; the evidence against it is void.
	VerdictCleared Verdict = "Cleared"
	// VerdictLifted: an operator has lifted the quarantine; the evidence against it is void.
	VerdictLifted Verdict = "Lifted"
)

// Judgement is a verdict on a request, on a part of prompts, or on parts that were always together, with its evidence.
type Judgement struct {
	// Suspect is the request. For a verdict on parts, its Fingerprint is the key of the verdict, and the rest is that
	// of a request that has them.
	Suspect

	Verdict Verdict
	// Elements are what the verdict is on: requests that have all of them. It is empty if that is the fingerprint alone.
	Elements []string `json:",omitempty"`
	// Workspaces and Pools are those for which a verdict on parts holds; empty for all.
	Workspaces []string `json:",omitempty"`
	Pools      []string `json:",omitempty"`
	// Upstreams are the incarnations that crashed while running the request: the evidence for
	// VerdictQuarantined, the void evidence for the other verdicts.
	Upstreams []string
}

// crashRecord is a crash with the time when this node first learned of it.
type crashRecord struct {
	Crash

	reportedAt time.Time
	// observed is true if this node observed the crash itself.
	observed bool
	// attributedTo are the keys of the verdicts on any of its suspects.
	attributedTo []string
	// vouchedFor are the parts that announced reports tell of as answered.
	vouchedFor []string
}

// hasSuspect reports whether a request was running at the crash.
func (c crashRecord) hasSuspect(fingerprint string) bool {
	return slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return s.Fingerprint == fingerprint })
}

// withReport returns the crash with what another report tells of a suspect that it has: its highest count of survived
// calls, and the parts that were answered.
func (c crashRecord) withReport(s Suspect) crashRecord {
	i := slices.IndexFunc(c.Suspects, func(known Suspect) bool { return known.Fingerprint == s.Fingerprint })
	known := c.Suspects[i]
	known.Survived = max(known.Survived, s.Survived)
	for _, part := range s.Answered {
		known = known.withAnsweredPart(part)
	}
	c.Suspects = slices.Clone(c.Suspects)
	c.Suspects[i] = known

	return c
}

// withAnsweredPart returns the suspect with one of its parts marked as answered.
func (s Suspect) withAnsweredPart(part string) Suspect {
	if slices.Contains(s.Parts, part) && !slices.Contains(s.Answered, part) {
		s.Answered = append(slices.Clip(s.Answered), part)
	}

	return s
}

// judgementRecord is a judgement with the time when this node learned of it.
type judgementRecord struct {
	Judgement

	reportedAt time.Time
}

// Quarantine holds the crashes and judgements that one node knows of. It is immutable.
type Quarantine struct {
	// crashes maps an incarnation to its crash.
	crashes *immutable.Map[string, crashRecord]
	// partCount is the number of parts that the suspects of all crashes have.
	partCount int
	// upstreamsBySuspect maps an element to the incarnations that crashed while running requests
	// with it.
	upstreamsBySuspect *immutable.Map[string, []string]
	// judgements maps the key of a verdict to the judgement.
	judgements *immutable.Map[string, judgementRecord]
	// verdictsByPart maps a part to the keys of the verdicts on it.
	verdictsByPart *immutable.Map[string, []string]
	// voidEvidence maps an element to the incarnations that no longer count against it.
	voidEvidence *immutable.Map[string, []string]
	// answered has the parts that this node's upstreams have answered, poolAnswers the pools that have answered any request.
	answered    answerTimes
	poolAnswers answerTimes
	// watched are the parts that a few more crashes would quarantine, so that an answer clears them at all nodes.
	watched *immutable.Map[string, struct{}]
	// toVouch are the incarnations at whose crashes parts were running that this node may have to vouch for.
	toVouch []string
	// newSuspects are the elements that became suspects since crashes were last judged: no other one
	// can have reached the number of crashes for a quarantine.
	newSuspects []string
	// judgeAt is when Judge has to be called next; zero if there is nothing to judge.
	judgeAt time.Time
}

// New returns a quarantine without crashes and judgements.
func New() Quarantine {
	return Quarantine{
		crashes:            immutable.NewMap[string, crashRecord](nil),
		upstreamsBySuspect: immutable.NewMap[string, []string](nil),
		judgements:         immutable.NewMap[string, judgementRecord](nil),
		verdictsByPart:     immutable.NewMap[string, []string](nil),
		voidEvidence:       immutable.NewMap[string, []string](nil),
		answered:           newAnswerTimes(),
		poolAnswers:        newAnswerTimes(),
		watched:            immutable.NewMap[string, struct{}](nil),
	}
}

// WithCrash adds a crash, or further suspects of a known one; observed is true if this node observed
// the crash itself. It returns false if nothing was new.
func (q Quarantine) WithCrash(c Crash, observed bool, now time.Time) (Quarantine, bool) {
	known, ok := q.crashes.Get(c.Upstream)
	if !ok {
		q = q.withRoomForCrash()
		known = crashRecord{Crash: Crash{Upstream: c.Upstream, Pool: c.Pool}, reportedAt: now}
	}
	known.observed = known.observed || observed
	known.Suspects = slices.Clip(known.Suspects)
	isNew := !ok
	for _, s := range c.Suspects {
		if !observed {
			known = known.withVouchedFor(s)
		}
		s = q.withAnswered(s)
		if observed {
			known = known.withVouchedFor(s)
		}
		if known.hasSuspect(s.Fingerprint) {
			known = known.withReport(s)

			continue
		}
		if len(known.Suspects) >= maxSuspects {
			continue
		}
		isNew = true
		s.Parts = s.Parts[:min(len(s.Parts), maxCrashParts-known.partCount())]
		known.Suspects = append(known.Suspects, s)
		q = q.withSuspect(c.Upstream, s)
	}
	q.crashes = q.crashes.Set(c.Upstream, known.withAttribution(q))
	q = q.withVouching(known)
	q = q.withoutRefuted(known)
	if isNew {
		q = q.withJudgeAt(now.Add(judgeDelay))
	}

	return q, isNew
}

// withSuspect adds the elements of a suspect of a crash.
func (q Quarantine) withSuspect(upstream string, s Suspect) Quarantine {
	elements := s.elements()
	for _, e := range elements {
		upstreams, _ := q.upstreamsBySuspect.Get(e)
		if !slices.Contains(upstreams, upstream) {
			q.upstreamsBySuspect = q.upstreamsBySuspect.Set(e, append(slices.Clip(upstreams), upstream))
		}
	}
	q.newSuspects = append(slices.Clip(q.newSuspects), elements...)
	q.partCount += len(s.Parts)

	return q
}

// withRoomForCrash drops the oldest crashes if there are maxCrashes, or too many parts for another one.
func (q Quarantine) withRoomForCrash() Quarantine {
	for q.crashes.Len() >= maxCrashes || q.partCount > maxParts-maxCrashParts {
		var oldest crashRecord
		for i := q.crashes.Iterator(); !i.Done(); {
			if _, c, _ := i.Next(); oldest.Upstream == "" || c.reportedAt.Before(oldest.reportedAt) {
				oldest = c
			}
		}
		q = q.withoutCrash(oldest)
	}

	return q
}

func (q Quarantine) withoutCrash(c crashRecord) Quarantine {
	q.crashes = q.crashes.Delete(c.Upstream)
	q.partCount -= c.partCount()
	for _, e := range c.elements() {
		upstreams, _ := q.upstreamsBySuspect.Get(e)
		upstreams = withoutItem(upstreams, c.Upstream)
		if len(upstreams) > 0 {
			q.upstreamsBySuspect = q.upstreamsBySuspect.Set(e, upstreams)

			continue
		}
		q.upstreamsBySuspect = q.upstreamsBySuspect.Delete(e)
		q.voidEvidence = q.voidEvidence.Delete(e)
		q.watched = q.watched.Delete(e)
	}

	return q
}

func withoutItem(list []string, item string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == item })
}

// WithJudgement adds a judgement of this node or another one. It returns false if it is not new
// or is ignored.
//
// One node may clear a request, or an operator lift its quarantine, while another node still
// quarantines it. The two judgements arrive in either order: a quarantine whose evidence is void by
// then is ignored.
func (q Quarantine) WithJudgement(j Judgement, now time.Time) (Quarantine, bool) {
	known, ok := q.judgements.Get(j.Fingerprint)
	if ok && known.Verdict == VerdictQuarantined && j.Verdict == VerdictQuarantined {
		j = known.mergedWith(j)
	}
	if ok && known.isSame(j) {
		return q, false
	}
	if j.Verdict == VerdictQuarantined && !q.isProven(j) {
		return q.withWatched(j), false
	}
	if ok {
		q = q.withoutJudgement(known.Judgement)
	} else {
		q = q.withRoomForJudgement()
	}
	q.judgements = q.judgements.Set(j.Fingerprint, judgementRecord{Judgement: j, reportedAt: now})
	if j.Verdict == VerdictQuarantined {
		return q.withVerdict(j).withoutExplained(j), true
	}
	for _, e := range j.judgedElements() {
		q = q.withVoidEvidence(e, j.Upstreams)
	}

	return q, true
}

// withVoidEvidence makes crashes void as evidence against an element, and drops the verdicts that lack evidence then.
func (q Quarantine) withVoidEvidence(element string, upstreams []string) Quarantine {
	void, _ := q.voidEvidence.Get(element)
	void = append(slices.Clip(void), upstreams...)
	slices.Sort(void)
	q.voidEvidence = q.voidEvidence.Set(element, slices.Compact(void))
	q.watched = q.watched.Delete(element)
	keys, _ := q.verdictsByPart.Get(element)
	for _, key := range keys {
		if j, _ := q.judgements.Get(key); q.lacksEvidence(j.Judgement) {
			q = q.withoutJudgement(j.Judgement)
		}
	}

	return q
}

// withWatched has the next answer to the parts of a verdict, which this node has reason to doubt, clear them.
func (q Quarantine) withWatched(j Judgement) Quarantine {
	for _, e := range j.judgedElements() {
		if isPart(e) {
			q.watched = q.watched.Set(e, struct{}{})
		}
	}

	return q
}

// withoutRefuted drops the quarantines whose evidence has become too doubtful by what was reported of a crash since.
func (q Quarantine) withoutRefuted(c crashRecord) Quarantine {
	for _, s := range c.Suspects {
		for _, key := range q.verdictKeys(s) {
			if j, _ := q.judgements.Get(key); q.refutes(j.Judgement) {
				q = q.withoutJudgement(j.Judgement)
			}
		}
	}

	return q
}

// isProven reports whether the evidence of a quarantine is enough by what this node knows.
func (q Quarantine) isProven(j Judgement) bool {
	return !q.lacksEvidence(j) && !q.refutes(j)
}

// refutes reports whether a quarantine's evidence is not enough by what this node knows of the crashes: too much of it
// is doubtful, another request that upstreams survived less often was running at all of them, or other quarantines
// explain them all.
func (q Quarantine) refutes(j Judgement) bool {
	if q.isExplained(j) {
		return true
	}
	if !j.IsOnParts() && len(j.Upstreams) < minCrashesOfPair && q.hasRival(j.Fingerprint, j.judgedElements(), j.Upstreams, 0) {
		return true
	}

	return slices.ContainsFunc(j.judgedElements(), func(e string) bool {
		if isPart(e) != j.IsOnParts() {
			return false
		}
		certain, doubtful := q.splitEvidence(e, j.Upstreams)

		return len(doubtful) > 0 && len(certain)+len(doubtful)/doubtfulCrashes < minCrashes
	})
}

// lacksEvidence reports whether so much of a judgement's evidence is void that the rest is not enough
// for a quarantine.
func (q Quarantine) lacksEvidence(j Judgement) bool {
	return slices.ContainsFunc(j.judgedElements(), func(e string) bool {
		if isPart(e) != j.IsOnParts() {
			return false
		}
		void, ok := q.voidEvidence.Get(e)
		valid := slices.DeleteFunc(slices.Clone(j.Upstreams), func(u string) bool { return slices.Contains(void, u) || q.isAnsweredSince(u, e) })

		return len(valid) < minCrashes && (ok || len(valid) < len(j.Upstreams))
	})
}

// withRoomForJudgement drops the oldest judgement of the workspace with the most judgements if there
// are maxJudgements.
func (q Quarantine) withRoomForJudgement() Quarantine {
	if q.judgements.Len() < maxJudgements {
		return q
	}
	count := map[string]int{}
	largest := ""
	for i := q.judgements.Iterator(); !i.Done(); {
		_, j, _ := i.Next()
		count[j.Workspace]++
		if count[j.Workspace] > count[largest] {
			largest = j.Workspace
		}
	}
	var oldest judgementRecord
	for i := q.judgements.Iterator(); !i.Done(); {
		_, j, _ := i.Next()
		if j.Workspace == largest && (oldest.Fingerprint == "" || j.reportedAt.Before(oldest.reportedAt)) {
			oldest = j
		}
	}

	return q.withoutJudgement(oldest.Judgement)
}

// QuarantinedUntil returns until when the verdict with a key quarantines, and whether it does. The key is a request's
// fingerprint, an element, or that of several parts. The time may have passed if Expire was not called since.
func (q Quarantine) QuarantinedUntil(key string) (until time.Time, quarantined bool) {
	j, ok := q.judgements.Get(key)
	if !ok || j.Verdict != VerdictQuarantined {
		return time.Time{}, false
	}

	return j.reportedAt.Add(TTL), true
}

// EvidenceAgainst returns the upstreams whose crashes count against an element now.
func (q Quarantine) EvidenceAgainst(element string) []string {
	upstreams, _ := q.upstreamsBySuspect.Get(element)
	void, _ := q.voidEvidence.Get(element)

	return slices.DeleteFunc(slices.Clone(upstreams), func(u string) bool { return slices.Contains(void, u) || q.isAttributedToOther(u, element) })
}

// KnownCrash returns an upstream's crash with all suspects known so far; its Upstream is empty if no
// crash is known.
func (q Quarantine) KnownCrash(upstream string) Crash {
	c, _ := q.crashes.Get(upstream)

	return c.Crash
}

// Quarantined returns the judgements on the requests that are quarantined at a time, sorted by
// fingerprint.
func (q Quarantine) Quarantined(now time.Time) []Judgement {
	var quarantined []Judgement
	for i := q.judgements.Iterator(); !i.Done(); {
		_, j, _ := i.Next()
		if until, ok := q.QuarantinedUntil(j.Fingerprint); ok && now.Before(until) {
			quarantined = append(quarantined, j.Judgement)
		}
	}
	slices.SortFunc(quarantined, func(a, b Judgement) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })

	return quarantined
}

// Judgements returns all judgements, in no particular order.
func (q Quarantine) Judgements() []Judgement {
	var all []Judgement
	for i := q.judgements.Iterator(); !i.Done(); {
		_, j, _ := i.Next()
		all = append(all, j.Judgement)
	}

	return all
}

// CrashCount returns the number of known crashes.
func (q Quarantine) CrashCount() int {
	return q.crashes.Len()
}

// Expire returns the quarantine without the crashes and judgements that are at least TTL old.
func (q Quarantine) Expire(now time.Time) Quarantine {
	for i := q.crashes.Iterator(); !i.Done(); {
		if _, c, _ := i.Next(); now.Sub(c.reportedAt) >= TTL {
			q = q.withoutCrash(c)
		}
	}
	for i := q.judgements.Iterator(); !i.Done(); {
		if _, j, _ := i.Next(); now.Sub(j.reportedAt) >= TTL {
			q = q.withoutJudgement(j.Judgement)
		}
	}

	return q
}

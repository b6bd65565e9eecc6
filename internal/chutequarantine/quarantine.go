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
)

// Suspect identifies a request that was running at an upstream when the upstream crashed.
type Suspect struct {
	// Fingerprint is the same each time that the request is sent.
	Fingerprint string
	Workspace   string
	Pipeline    string
	// Parts are the ids of the parts of its prompt that other prompts may share.
	Parts []string `json:",omitempty"`
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

// Judgement is a verdict on one request, with its evidence.
type Judgement struct {
	Suspect

	Verdict Verdict
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
}

// hasSuspect reports whether a request was running at the crash.
func (c crashRecord) hasSuspect(fingerprint string) bool {
	return slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return s.Fingerprint == fingerprint })
}

// survived returns the highest reported count of a suspect's survived calls; 0 if it is no suspect.
func (c crashRecord) survived(fingerprint string) int {
	for _, s := range c.Suspects {
		if s.Fingerprint == fingerprint {
			return s.Survived
		}
	}

	return 0
}

// withSurvived returns the crash with a suspect's highest reported count of survived calls.
func (c crashRecord) withSurvived(s Suspect) crashRecord {
	i := slices.IndexFunc(c.Suspects, func(known Suspect) bool { return known.Fingerprint == s.Fingerprint })
	if c.Suspects[i].Survived < s.Survived {
		c.Suspects = slices.Clone(c.Suspects)
		c.Suspects[i].Survived = s.Survived
	}

	return c
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
	// upstreamsBySuspect maps a fingerprint to the incarnations that crashed while running the
	// request.
	upstreamsBySuspect *immutable.Map[string, []string]
	// judgements maps a fingerprint to the judgement on the request.
	judgements *immutable.Map[string, judgementRecord]
	// voidEvidence maps a fingerprint to the incarnations that no longer count against the request.
	voidEvidence *immutable.Map[string, []string]
	// newSuspects are the fingerprints of the requests that became suspects since crashes were last
	// judged: no other request can have reached the number of crashes for a quarantine.
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
		voidEvidence:       immutable.NewMap[string, []string](nil),
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
		if known.hasSuspect(s.Fingerprint) {
			known = known.withSurvived(s)

			continue
		}
		if len(known.Suspects) >= maxSuspects {
			continue
		}
		isNew = true
		known.Suspects = append(known.Suspects, s)
		upstreams, _ := q.upstreamsBySuspect.Get(s.Fingerprint)
		q.upstreamsBySuspect = q.upstreamsBySuspect.Set(s.Fingerprint, append(slices.Clip(upstreams), c.Upstream))
		q.newSuspects = append(slices.Clip(q.newSuspects), s.Fingerprint)
	}
	q.crashes = q.crashes.Set(c.Upstream, known)
	q = q.withoutRefuted(known)
	if isNew {
		q = q.withJudgeAt(now.Add(judgeDelay))
	}

	return q, isNew
}

// withRoomForCrash drops the oldest crash if there are maxCrashes.
func (q Quarantine) withRoomForCrash() Quarantine {
	if q.crashes.Len() < maxCrashes {
		return q
	}
	var oldest crashRecord
	for i := q.crashes.Iterator(); !i.Done(); {
		if _, c, _ := i.Next(); oldest.Upstream == "" || c.reportedAt.Before(oldest.reportedAt) {
			oldest = c
		}
	}

	return q.withoutCrash(oldest)
}

func (q Quarantine) withoutCrash(c crashRecord) Quarantine {
	q.crashes = q.crashes.Delete(c.Upstream)
	for _, s := range c.Suspects {
		upstreams, _ := q.upstreamsBySuspect.Get(s.Fingerprint)
		upstreams = withoutItem(upstreams, c.Upstream)
		if len(upstreams) > 0 {
			q.upstreamsBySuspect = q.upstreamsBySuspect.Set(s.Fingerprint, upstreams)

			continue
		}
		q.upstreamsBySuspect = q.upstreamsBySuspect.Delete(s.Fingerprint)
		q.voidEvidence = q.voidEvidence.Delete(s.Fingerprint)
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
	if ok && known.Verdict == j.Verdict && slices.Equal(known.Upstreams, j.Upstreams) {
		return q, false
	}
	if j.Verdict == VerdictQuarantined && (q.lacksEvidence(j) || q.refutes(j)) {
		return q, false
	}
	if !ok {
		q = q.withRoomForJudgement()
	}
	q.judgements = q.judgements.Set(j.Fingerprint, judgementRecord{Judgement: j, reportedAt: now})
	if j.Verdict != VerdictQuarantined {
		void, _ := q.voidEvidence.Get(j.Fingerprint)
		void = append(slices.Clip(void), j.Upstreams...)
		slices.Sort(void)
		q.voidEvidence = q.voidEvidence.Set(j.Fingerprint, slices.Compact(void))
	}

	return q, true
}

// withoutRefuted drops the quarantines whose evidence has become too doubtful by what was reported of a crash since.
func (q Quarantine) withoutRefuted(c crashRecord) Quarantine {
	for _, s := range c.Suspects {
		if j, ok := q.judgements.Get(s.Fingerprint); ok && j.Verdict == VerdictQuarantined && q.refutes(j.Judgement) {
			q.judgements = q.judgements.Delete(s.Fingerprint)
		}
	}

	return q
}

// refutes reports whether a quarantine's evidence is not enough by what this node knows of the crashes: too much of it
// is doubtful, or another request that upstreams survived less often was running at all of them.
func (q Quarantine) refutes(j Judgement) bool {
	if len(j.Upstreams) < minCrashesOfPair && q.hasRival(j.Fingerprint, j.Upstreams, 0) {
		return true
	}
	certain, doubtful := q.splitEvidence(j.Fingerprint, j.Upstreams)

	return len(doubtful) > 0 && len(certain)+len(doubtful)/doubtfulCrashes < minCrashes
}

// lacksEvidence reports whether so much of a judgement's evidence is void that the rest is not enough
// for a quarantine.
func (q Quarantine) lacksEvidence(j Judgement) bool {
	void, ok := q.voidEvidence.Get(j.Fingerprint)
	valid := slices.DeleteFunc(slices.Clone(j.Upstreams), func(u string) bool { return slices.Contains(void, u) })

	return ok && len(valid) < minCrashes
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
	q.judgements = q.judgements.Delete(oldest.Fingerprint)

	return q
}

// QuarantinedUntil returns until when a request is quarantined, and whether it is. The time may have
// passed if Expire was not called since.
func (q Quarantine) QuarantinedUntil(fingerprint string) (until time.Time, quarantined bool) {
	j, ok := q.judgements.Get(fingerprint)
	if !ok || j.Verdict != VerdictQuarantined {
		return time.Time{}, false
	}

	return j.reportedAt.Add(TTL), true
}

// EvidenceAgainst returns the upstreams whose crashes count against a request now.
func (q Quarantine) EvidenceAgainst(fingerprint string) []string {
	upstreams, _ := q.upstreamsBySuspect.Get(fingerprint)
	void, _ := q.voidEvidence.Get(fingerprint)

	return slices.DeleteFunc(slices.Clone(upstreams), func(u string) bool { return slices.Contains(void, u) || q.isAttributedToOther(u, fingerprint) })
}

// isAttributedToOther reports whether a crash is attributed to another request, which is quarantined.
func (q Quarantine) isAttributedToOther(upstream, fingerprint string) bool {
	c, _ := q.crashes.Get(upstream)

	return slices.ContainsFunc(c.Suspects, func(s Suspect) bool {
		_, quarantined := q.QuarantinedUntil(s.Fingerprint)

		return quarantined && s.Fingerprint != fingerprint
	})
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
			q.judgements = q.judgements.Delete(j.Fingerprint)
		}
	}

	return q
}

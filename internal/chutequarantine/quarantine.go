package chutequarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"
)

const (
	// TTL is how long a crash and a judgement count. A poison request that comes for
	// longer costs as many upstreams again each time it is forgotten: three an hour. A
	// request that is harmless by now, since a model was mended, comes free after it.
	TTL = time.Hour
	// maxCrashes bounds the crashes that are kept; beyond, the oldest is dropped. Three
	// times the upstreams of the largest site may end in one hour.
	maxCrashes = 2048
	// maxSuspects bounds the suspects of one crash: the calls that an engine runs at once.
	maxSuspects = 64
	// maxJudgements bounds the judgements that are kept, about 300 bytes each. Beyond,
	// one of the workspace that has most is dropped, so that whoever sends thousands of
	// poison requests pushes out none but its own.
	maxJudgements = 4096
)

// Suspect is a request that ran at an upstream when that ended.
type Suspect struct {
	// Fingerprint names the request whatever sending it was.
	Fingerprint string
	Workspace   string
	Pipeline    string
}

// Crash is the end of an upstream's process while it ran requests.
type Crash struct {
	// Upstream is the incarnation that ended.
	Upstream string
	Pool     string
	Suspects []Suspect
}

// Verdict is what is held of a request.
type Verdict string

// The verdicts on a request.
const (
	// VerdictQuarantined: it is not handed to any upstream.
	VerdictQuarantined Verdict = "Quarantined"
	// VerdictCleared: an upstream has answered it since; what was held against it is void.
	VerdictCleared Verdict = "Cleared"
	// VerdictLifted: an operator has set it free; what was held against it is void.
	VerdictLifted Verdict = "Lifted"
)

// Judgement is a verdict on one request.
type Judgement struct {
	Suspect

	Verdict Verdict
	// Upstreams are the incarnations that ended under it: the evidence, or what is void.
	Upstreams []string
}

// crash is a crash with when this node heard of it first.
type crashRecord struct {
	Crash

	reportedAt time.Time
	// own says that this node saw it itself.
	observed bool
}

// suspects says whether a request ran there.
func (c crashRecord) hasSuspect(fingerprint string) bool {
	return slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return s.Fingerprint == fingerprint })
}

// judged is a judgement with when this node heard of it.
type judgementRecord struct {
	Judgement

	reportedAt time.Time
}

// Quarantine is what one node has heard of crashes and judgements; it is never changed in
// place.
type Quarantine struct {
	// crashes are by incarnation, crashesOf names the incarnations that ended under a request.
	crashes            *immutable.Map[string, crashRecord]
	upstreamsBySuspect *immutable.Map[string, []string]
	judgements         *immutable.Map[string, judgementRecord]
	// voids maps a request to the incarnations that count no more against it.
	voidEvidence *immutable.Map[string, []string]
	// unjudged are the requests that became suspects since crashes were last judged:
	// no other one can have reached the number of ends that sets it aside.
	newSuspects []string
	// judgeAt is when there is something to judge; zero if there is nothing.
	judgeAt time.Time
}

// New returns a quarantine that has heard of nothing.
func New() Quarantine {
	return Quarantine{
		crashes:            immutable.NewMap[string, crashRecord](nil),
		upstreamsBySuspect: immutable.NewMap[string, []string](nil),
		judgements:         immutable.NewMap[string, judgementRecord](nil),
		voidEvidence:       immutable.NewMap[string, []string](nil),
	}
}

// WithCrash takes in a crash, or further suspects of a known one; own says that this node
// saw it itself. It returns false if that is no news.
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
		if len(known.Suspects) >= maxSuspects || known.hasSuspect(s.Fingerprint) {
			continue
		}
		isNew = true
		known.Suspects = append(known.Suspects, s)
		upstreams, _ := q.upstreamsBySuspect.Get(s.Fingerprint)
		q.upstreamsBySuspect = q.upstreamsBySuspect.Set(s.Fingerprint, append(slices.Clip(upstreams), c.Upstream))
		q.newSuspects = append(slices.Clip(q.newSuspects), s.Fingerprint)
	}
	q.crashes = q.crashes.Set(c.Upstream, known)
	if isNew && q.judgeAt.IsZero() {
		q.judgeAt = now.Add(judgeDelay)
	}

	return q, isNew
}

// withRoom drops the oldest crash if there are too many.
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

// WithJudgement takes in a judgement, own or heard. It returns false if that is no news.
//
// A request may be cleared or lifted at one node while another one still sets it aside. The
// words arrive in either order; the verdict whose evidence is void by then is left out.
func (q Quarantine) WithJudgement(j Judgement, now time.Time) (Quarantine, bool) {
	known, ok := q.judgements.Get(j.Fingerprint)
	if ok && known.Verdict == j.Verdict && slices.Equal(known.Upstreams, j.Upstreams) {
		return q, false
	}
	if j.Verdict == VerdictQuarantined && q.lacksEvidence(j) {
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

// isVoid says whether too little of a verdict's evidence still counts.
func (q Quarantine) lacksEvidence(j Judgement) bool {
	void, ok := q.voidEvidence.Get(j.Fingerprint)
	valid := slices.DeleteFunc(slices.Clone(j.Upstreams), func(u string) bool { return slices.Contains(void, u) })

	return ok && len(valid) < minCrashes
}

// withRoomFor drops the oldest judgement of the workspace that has most, if there are too many.
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

// QuarantinedUntil says whether a request is set aside, and until when.
func (q Quarantine) QuarantinedUntil(fingerprint string) (until time.Time, quarantined bool) {
	j, ok := q.judgements.Get(fingerprint)
	if !ok || j.Verdict != VerdictQuarantined {
		return time.Time{}, false
	}

	return j.reportedAt.Add(TTL), true
}

// EvidenceAgainst lists the upstreams whose ends speak against a request by now.
func (q Quarantine) EvidenceAgainst(fingerprint string) []string {
	upstreams, _ := q.upstreamsBySuspect.Get(fingerprint)
	void, _ := q.voidEvidence.Get(fingerprint)

	return slices.DeleteFunc(slices.Clone(upstreams), func(u string) bool { return slices.Contains(void, u) || q.isAttributedToOther(u, fingerprint) })
}

// explained says whether a crash is put down to another request that is set aside.
func (q Quarantine) isAttributedToOther(upstream, fingerprint string) bool {
	c, _ := q.crashes.Get(upstream)

	return slices.ContainsFunc(c.Suspects, func(s Suspect) bool {
		_, quarantined := q.QuarantinedUntil(s.Fingerprint)

		return quarantined && s.Fingerprint != fingerprint
	})
}

// KnownCrash returns a crash as it is known; its incarnation is empty if it is not.
func (q Quarantine) KnownCrash(upstream string) Crash {
	c, _ := q.crashes.Get(upstream)

	return c.Crash
}

// Quarantined lists the requests that are set aside at a time, by fingerprint.
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

// Judgements lists what is held of requests, in no order.
func (q Quarantine) Judgements() []Judgement {
	var all []Judgement
	for i := q.judgements.Iterator(); !i.Done(); {
		_, j, _ := i.Next()
		all = append(all, j.Judgement)
	}

	return all
}

// CrashCount counts the crashes that are known.
func (q Quarantine) CrashCount() int {
	return q.crashes.Len()
}

// Expire forgets what is older than Life.
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

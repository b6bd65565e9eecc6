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
type crash struct {
	Crash

	heardAt time.Time
	// own says that this node saw it itself.
	own bool
}

// suspects says whether a request ran there.
func (c crash) suspects(fingerprint string) bool {
	return slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return s.Fingerprint == fingerprint })
}

// judged is a judgement with when this node heard of it.
type judged struct {
	Judgement

	heardAt time.Time
}

// Quarantine is what one node has heard of crashes and judgements; it is never changed in
// place.
type Quarantine struct {
	// crashes are by incarnation, crashesOf names the incarnations that ended under a request.
	crashes    *immutable.Map[string, crash]
	crashesOf  *immutable.Map[string, []string]
	judgements *immutable.Map[string, judged]
	// voids maps a request to the incarnations that count no more against it.
	voids *immutable.Map[string, []string]
	// unjudged are the requests that became suspects since crashes were last judged:
	// no other one can have reached the number of ends that sets it aside.
	unjudged []string
	// judgeAt is when there is something to judge; zero if there is nothing.
	judgeAt time.Time
}

// New returns a quarantine that has heard of nothing.
func New() Quarantine {
	return Quarantine{
		crashes:    immutable.NewMap[string, crash](nil),
		crashesOf:  immutable.NewMap[string, []string](nil),
		judgements: immutable.NewMap[string, judged](nil),
		voids:      immutable.NewMap[string, []string](nil),
	}
}

// WithCrash takes in a crash, or further suspects of a known one; own says that this node
// saw it itself. It returns false if that is no news.
func (q Quarantine) WithCrash(c Crash, own bool, now time.Time) (Quarantine, bool) {
	known, ok := q.crashes.Get(c.Upstream)
	if !ok {
		q = q.withRoom()
		known = crash{Crash: Crash{Upstream: c.Upstream, Pool: c.Pool}, heardAt: now}
	}
	known.own = known.own || own
	known.Suspects = slices.Clip(known.Suspects)
	news := !ok
	for _, s := range c.Suspects {
		if len(known.Suspects) >= maxSuspects || known.suspects(s.Fingerprint) {
			continue
		}
		news = true
		known.Suspects = append(known.Suspects, s)
		at, _ := q.crashesOf.Get(s.Fingerprint)
		q.crashesOf = q.crashesOf.Set(s.Fingerprint, append(slices.Clip(at), c.Upstream))
		q.unjudged = append(slices.Clip(q.unjudged), s.Fingerprint)
	}
	q.crashes = q.crashes.Set(c.Upstream, known)
	if news && q.judgeAt.IsZero() {
		q.judgeAt = now.Add(settle)
	}

	return q, news
}

// withRoom drops the oldest crash if there are too many.
func (q Quarantine) withRoom() Quarantine {
	if q.crashes.Len() < maxCrashes {
		return q
	}
	var oldest crash
	for i := q.crashes.Iterator(); !i.Done(); {
		if _, c, _ := i.Next(); oldest.Upstream == "" || c.heardAt.Before(oldest.heardAt) {
			oldest = c
		}
	}

	return q.withoutCrash(oldest)
}

func (q Quarantine) withoutCrash(c crash) Quarantine {
	q.crashes = q.crashes.Delete(c.Upstream)
	for _, s := range c.Suspects {
		at, _ := q.crashesOf.Get(s.Fingerprint)
		at = without(at, c.Upstream)
		if len(at) > 0 {
			q.crashesOf = q.crashesOf.Set(s.Fingerprint, at)

			continue
		}
		q.crashesOf = q.crashesOf.Delete(s.Fingerprint)
		q.voids = q.voids.Delete(s.Fingerprint)
	}

	return q
}

func without(list []string, item string) []string {
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
	if j.Verdict == VerdictQuarantined && q.isVoid(j) {
		return q, false
	}
	if !ok {
		q = q.withRoomFor()
	}
	q.judgements = q.judgements.Set(j.Fingerprint, judged{Judgement: j, heardAt: now})
	if j.Verdict != VerdictQuarantined {
		void, _ := q.voids.Get(j.Fingerprint)
		void = append(slices.Clip(void), j.Upstreams...)
		slices.Sort(void)
		q.voids = q.voids.Set(j.Fingerprint, slices.Compact(void))
	}

	return q, true
}

// isVoid says whether too little of a verdict's evidence still counts.
func (q Quarantine) isVoid(j Judgement) bool {
	void, ok := q.voids.Get(j.Fingerprint)
	left := slices.DeleteFunc(slices.Clone(j.Upstreams), func(u string) bool { return slices.Contains(void, u) })

	return ok && len(left) < sure
}

// withRoomFor drops the oldest judgement of the workspace that has most, if there are too many.
func (q Quarantine) withRoomFor() Quarantine {
	if q.judgements.Len() < maxJudgements {
		return q
	}
	count := map[string]int{}
	most := ""
	for i := q.judgements.Iterator(); !i.Done(); {
		_, j, _ := i.Next()
		count[j.Workspace]++
		if count[j.Workspace] > count[most] {
			most = j.Workspace
		}
	}
	var oldest judged
	for i := q.judgements.Iterator(); !i.Done(); {
		_, j, _ := i.Next()
		if j.Workspace == most && (oldest.Fingerprint == "" || j.heardAt.Before(oldest.heardAt)) {
			oldest = j
		}
	}
	q.judgements = q.judgements.Delete(oldest.Fingerprint)

	return q
}

// QuarantinedUntil says whether a request is set aside, and until when.
func (q Quarantine) QuarantinedUntil(fingerprint string) (until time.Time, held bool) {
	j, ok := q.judgements.Get(fingerprint)
	if !ok || j.Verdict != VerdictQuarantined {
		return time.Time{}, false
	}

	return j.heardAt.Add(TTL), true
}

// EvidenceAgainst lists the upstreams whose ends speak against a request by now.
func (q Quarantine) EvidenceAgainst(fingerprint string) []string {
	at, _ := q.crashesOf.Get(fingerprint)
	void, _ := q.voids.Get(fingerprint)

	return slices.DeleteFunc(slices.Clone(at), func(u string) bool { return slices.Contains(void, u) || q.explained(u, fingerprint) })
}

// explained says whether a crash is put down to another request that is set aside.
func (q Quarantine) explained(upstream, fingerprint string) bool {
	c, _ := q.crashes.Get(upstream)

	return slices.ContainsFunc(c.Suspects, func(s Suspect) bool {
		_, held := q.QuarantinedUntil(s.Fingerprint)

		return held && s.Fingerprint != fingerprint
	})
}

// KnownCrash returns a crash as it is known; its incarnation is empty if it is not.
func (q Quarantine) KnownCrash(upstream string) Crash {
	c, _ := q.crashes.Get(upstream)

	return c.Crash
}

// Quarantined lists the requests that are set aside at a time, by fingerprint.
func (q Quarantine) Quarantined(now time.Time) []Judgement {
	var held []Judgement
	for i := q.judgements.Iterator(); !i.Done(); {
		_, j, _ := i.Next()
		if until, ok := q.QuarantinedUntil(j.Fingerprint); ok && now.Before(until) {
			held = append(held, j.Judgement)
		}
	}
	slices.SortFunc(held, func(a, b Judgement) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })

	return held
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
		if _, c, _ := i.Next(); now.Sub(c.heardAt) >= TTL {
			q = q.withoutCrash(c)
		}
	}
	for i := q.judgements.Iterator(); !i.Done(); {
		if _, j, _ := i.Next(); now.Sub(j.heardAt) >= TTL {
			q.judgements = q.judgements.Delete(j.Fingerprint)
		}
	}

	return q
}

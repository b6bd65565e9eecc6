package chuterelay

import (
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chutequarantine"
)

// crashRetryAfter is the retry delay of a caller whose request was running on upstreams that
// ended, before it is known whether the request was the cause. The upstreams are back after some
// seconds.
const crashRetryAfter = 5 * time.Second

// strayEvidence is the evidence in the log for suspects that another node's crash report lacks.
const strayEvidence = "calls to the process before may have reached it"

// quarantineRefusalFor returns the refusal of a request that is quarantined in a pool, and false for any
// other.
func (st *reduction) quarantineRefusalFor(s chutequarantine.Suspect, pool string) (Refusal, bool) {
	j, until, quarantined := st.quarantine.VerdictOn(s, pool)
	if !quarantined || !st.now.Before(until) {
		return Refusal{}, false
	}

	return Refusal{
		Kind: RefusedNotRun, Reason: "upstreams ended each time that they ran this request; it is set aside",
		RetryAfter: until.Sub(st.now), Verdict: j.Fingerprint,
	}, true
}

// suspect identifies the request to other nodes.
func (r request) suspect() chutequarantine.Suspect {
	return chutequarantine.Suspect{Fingerprint: r.Fingerprint, Workspace: r.Workspace.Name, Pipeline: r.Pipeline.Name, Parts: r.PromptParts}
}

// callSuspects identifies the requests whose parts are in a call.
func callSuspects(call chutebatch.Call) []chutequarantine.Suspect {
	var all []chutequarantine.Suspect
	seen := map[string]bool{}
	for _, j := range call.Jobs {
		if j.Fingerprint != "" && !seen[j.Fingerprint] {
			seen[j.Fingerprint] = true
			all = append(all, chutequarantine.Suspect{Fingerprint: j.Fingerprint, Workspace: j.Workspace, Pipeline: j.Pipeline})
		}
	}

	return all
}

// recordCrash records that an upstream ended while it ran requests of this node.
//
// An upstream that was leaving or unlisted ended on request; one that is brittle ends for want of room.
func (st *reduction) recordCrash(u chutefleet.Upstream, evidence string, suspects ...chutequarantine.Suspect) {
	known, listed := st.fleet.Get(u.ID)
	serving := listed && known.State == chutefleet.StateReady || st.fleet.IsReplaced(u.ID)
	if !serving || len(suspects) == 0 || st.links.cutOff || st.isBrittle(u) {
		return
	}
	if listed {
		suspects = append(suspects, st.strays.suspects(u.Name, st.now)...)
	}
	crash := chutequarantine.Crash{Upstream: u.ID, Pool: u.Pool, Suspects: st.withSurvived(suspects)}
	var isNew bool
	if st.quarantine, isNew = st.quarantine.WithCrash(crash, true, st.now); !isNew {
		return
	}
	st.emit(LogCrash{Crash: crash, Evidence: evidence})
	st.emit(AnnounceCrash{Crash: st.quarantine.KnownCrash(u.ID)})
	st.scheduleJudgement()
}

// withSurvived returns suspects with the numbers of their calls that upstreams survived.
func (st *reduction) withSurvived(suspects []chutequarantine.Suspect) []chutequarantine.Suspect {
	counted := slices.Clone(suspects)
	for i := range counted {
		counted[i].Survived = st.survived.count(counted[i].Fingerprint, st.now)
	}

	return counted
}

// isBrittle reports whether an upstream is brittle, also if another process has its name already.
func (st *reduction) isBrittle(u chutefleet.Upstream) bool {
	current, _ := st.fleet.Current(u.Name)
	_, brittle := st.fleet.Brittle(current.ID)

	return brittle
}

// recordCallCrash records that an upstream ended while it ran a call with parts.
func (st *reduction) recordCallCrash(u chutefleet.Upstream, call chutebatch.Call, evidence string) {
	st.recordCrash(u, evidence, callSuspects(call)...)
	st.collector = st.collector.WithUpstreamEnded(call)
}

// clearSuspicion clears a request that an upstream has answered, and the parts of its prompt: they were not the cause of
// crashes of upstreams that ran them.
func (st *reduction) clearSuspicion(r request) {
	var cleared []chutequarantine.Judgement
	st.quarantine, cleared = st.quarantine.WithAnswer(r.suspect(), r.pool, st.now)
	for _, j := range cleared {
		st.emit(AnnounceJudgement{Judgement: j})
	}
}

// recordRequestCrash records that an upstream ended while it ran a request's call.
func (st *reduction) recordRequestCrash(r request, evidence string) {
	if r.current.began && st.now.Sub(r.current.beganAt) >= chutequarantine.AnswerStartTime {
		st.quarantine = st.quarantine.WithSurvivors(r.suspect(), st.now)
	}
	st.recordCrash(r.current.upstream, evidence, r.suspect())
}

// quarantineAnnounced applies the crashes and judgements that other nodes have announced.
func (st *reduction) quarantineAnnounced(e QuarantineAnnounced) {
	for _, c := range e.Crashes {
		st.quarantine, _ = st.quarantine.WithCrash(c, false, st.now)
		st.addStraySuspects(c)
	}
	for _, j := range e.Judgements {
		var isNew bool
		if st.quarantine, isNew = st.quarantine.WithJudgement(j, st.now); isNew {
			st.logJudgement(j, true)
			st.enforceQuarantine(j)
		}
	}
	st.scheduleJudgement()
}

// addStraySuspects adds this node's stray calls to the suspects of a crash that another node has announced.
func (st *reduction) addStraySuspects(c chutequarantine.Crash) {
	u, listed := st.fleet.Get(c.Upstream)
	suspects := st.strays.suspects(u.Name, st.now)
	if !listed || len(suspects) == 0 {
		return
	}
	var isNew bool
	crash := chutequarantine.Crash{Upstream: c.Upstream, Pool: c.Pool, Suspects: st.withSurvived(suspects)}
	if st.quarantine, isNew = st.quarantine.WithCrash(crash, true, st.now); isNew {
		st.emit(LogCrash{Crash: crash, Evidence: strayEvidence})
		st.emit(AnnounceCrash{Crash: st.quarantine.KnownCrash(c.Upstream)})
	}
}

// scheduleJudgement schedules the next judgement of crashes.
func (st *reduction) scheduleJudgement() {
	if st.quarantine.MustVouch() && st.vouchAt.IsZero() {
		st.vouchAt = st.now.Add(time.Duration(st.randomFraction() * float64(chutequarantine.MaxVouchDelay)))
		st.emit(JudgeAt{At: st.vouchAt})
	}
	at := st.quarantine.JudgeAt()
	if at.IsZero() || !st.judgeAt.IsZero() && !at.Before(st.judgeAt) {
		return
	}
	st.judgeAt = at
	st.emit(JudgeAt{At: at})
}

// judgeCrashes quarantines the requests that upstreams ended under.
//
// Only nodes that observed a crash announce the verdict, which all reach alike.
func (st *reduction) judgeCrashes() {
	st.quarantine = st.quarantine.Expire(st.now)
	if !st.vouchAt.IsZero() && !st.now.Before(st.vouchAt) {
		st.vouchAt = time.Time{}
		var reports []chutequarantine.Crash
		st.quarantine, reports = st.quarantine.Vouch()
		for _, c := range reports {
			st.emit(AnnounceCrash{Crash: c})
		}
	}
	var judgements []chutequarantine.Judgement
	var sawCrash map[string]bool
	st.quarantine, judgements, sawCrash = st.quarantine.Judge(st.now)
	for _, j := range judgements {
		st.logJudgement(j, false)
		if sawCrash[j.Fingerprint] {
			st.emit(AnnounceJudgement{Judgement: j})
		}
		st.enforceQuarantine(j)
	}
	st.scheduleJudgement()
}

// logJudgement logs a judgement with what this node knows of its evidence.
func (st *reduction) logJudgement(j chutequarantine.Judgement, announced bool) {
	since, survived := st.quarantine.Evidence(j)
	logged := LogJudgement{Judgement: j, Survived: survived, Announced: announced}
	if !since.IsZero() {
		logged.Since = st.now.Sub(since)
	}
	st.emit(logged)
}

// enforceQuarantine ends what is in progress of a quarantined request: what waits for its stages
// or its upstream, and calls that have not replied yet. An upstream drops a call whose connection
// closes, mostly before the call has ended the upstream's process. A stream that has begun goes
// on, since its upstream has survived the beginning.
func (st *reduction) enforceQuarantine(j chutequarantine.Judgement) {
	if j.Verdict != chutequarantine.VerdictQuarantined {
		return
	}
	for i := st.requests.Iterator(); !i.Done(); {
		_, r, _ := i.Next()
		refusal, quarantined := st.quarantineRefusalFor(r.suspect(), r.pool)
		if quarantined && refusal.Verdict == j.Fingerprint && !r.answerBegun {
			st.cancelCall(r)
			st.giveUp(r, refusal)
		}
	}
	var ended chutebatch.JobChanges
	st.collector, ended = st.collector.WithoutRequest(j.Fingerprint)
	st.settleJobs(ended)
}

// Quarantine returns the crashes and judgements that the node knows of.
func (s State) Quarantine() chutequarantine.Quarantine {
	return s.quarantine
}

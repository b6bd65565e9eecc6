package chuterelay

import (
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chutequarantine"
)

// crashRetryAfter is when a caller may come back under whose request upstreams have ended,
// before it is known whether that was its doing: they are back after some seconds.
const crashRetryAfter = 5 * time.Second

// quarantineRefusal is what a caller hears whose request is set aside until a time from now.
func quarantineRefusal(retryAfter time.Duration) Refusal {
	return Refusal{
		Kind: RefusedNotRun, Reason: "upstreams ended each time that they ran this request; it is set aside",
		RetryAfter: retryAfter,
	}
}

// quarantineRefusalFor says why a request is not handed to any upstream.
//
// A request that ends the process of whoever runs it comes again with each retry of its
// caller, at any node. Without this it takes one upstream after another out of its pool,
// each with all calls that stand beside it.
func (st *reduction) quarantineRefusalFor(fingerprint string) (Refusal, bool) {
	until, quarantined := st.quarantine.Holds(fingerprint)
	if !quarantined || !st.now.Before(until) {
		return Refusal{}, false
	}

	return quarantineRefusal(until.Sub(st.now)), true
}

// suspect names the request to other nodes.
func (r request) suspect() chutequarantine.Suspect {
	return chutequarantine.Suspect{Fingerprint: r.Fingerprint, Workspace: r.Workspace.Name, Pipeline: r.Pipeline.Name}
}

// callSuspects names the requests whose parts are in a call.
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

// recordCrash takes in that an upstream ended while it ran requests of this node.
//
// One that was leaving, or had left the list already, has ended as it was told to, whatever
// it still ran: the entry of one that crashes runs out seconds later.
func (st *reduction) recordCrash(u chutefleet.Upstream, evidence string, suspects ...chutequarantine.Suspect) {
	known, listed := st.fleet.Get(u.ID)
	serving := listed && known.State == chutefleet.StateReady || st.fleet.HasReplaced(u.ID)
	if !serving || len(suspects) == 0 {
		return
	}
	crash := chutequarantine.Crash{Upstream: u.ID, Pool: u.Pool, Suspects: suspects}
	var isNew bool
	if st.quarantine, isNew = st.quarantine.WithCrash(crash, true, st.now); !isNew {
		return
	}
	st.emit(LogCrash{Crash: crash, Evidence: evidence})
	st.emit(AnnounceCrash{Crash: st.quarantine.Known(u.ID)})
	st.scheduleJudgement()
}

// recordCallCrash takes in that an upstream ended while it ran a call with parts.
func (st *reduction) recordCallCrash(u chutefleet.Upstream, call chutebatch.Call, evidence string) {
	st.recordCrash(u, evidence, callSuspects(call)...)
	st.collector = st.collector.WithEndedUnder(call)
}

// clearSuspicion takes in that an upstream has answered a request: whatever ended beside it, it was
// not the cause.
func (st *reduction) clearSuspicion(r request) {
	upstreams := st.quarantine.Suspected(r.Fingerprint)
	if len(upstreams) == 0 {
		return
	}
	j := chutequarantine.Judgement{Suspect: r.suspect(), Verdict: chutequarantine.VerdictCleared, Upstreams: upstreams}
	st.quarantine, _ = st.quarantine.WithJudgement(j, st.now)
	st.emit(AnnounceJudgement{Judgement: j})
}

// quarantineAnnounced takes in what other nodes tell.
func (st *reduction) quarantineAnnounced(e QuarantineAnnounced) {
	for _, c := range e.Crashes {
		st.quarantine, _ = st.quarantine.WithCrash(c, false, st.now)
	}
	for _, j := range e.Judgements {
		var isNew bool
		if st.quarantine, isNew = st.quarantine.WithJudgement(j, st.now); isNew {
			st.emit(LogJudgement{Judgement: j, Announced: true})
			st.enforceQuarantine(j)
		}
	}
	st.scheduleJudgement()
}

// scheduleJudgement asks for the next look at the crashes.
func (st *reduction) scheduleJudgement() {
	at := st.quarantine.JudgeAt()
	if at.IsZero() || !st.judgeAt.IsZero() {
		return
	}
	st.judgeAt = at
	st.emit(JudgeAt{At: at})
}

// judgeCrashes sets requests aside that upstreams ended under.
//
// Each node comes to the same verdicts; those that saw an end themselves tell them, so that
// few of hundreds write the same row.
func (st *reduction) judgeCrashes() {
	st.quarantine = st.quarantine.Expire(st.now)
	var judgements []chutequarantine.Judgement
	var sawCrash map[string]bool
	st.quarantine, judgements, sawCrash = st.quarantine.Judge(st.now)
	for _, j := range judgements {
		st.emit(LogJudgement{Judgement: j})
		if sawCrash[j.Fingerprint] {
			st.emit(AnnounceJudgement{Judgement: j})
		}
		st.enforceQuarantine(j)
	}
	st.scheduleJudgement()
}

// enforceQuarantine ends what is under way of a request that is set aside: what waits for its stages
// or its upstream, and calls from which nothing has come yet. An upstream drops a call
// whose connection closes, mostly before it has ended by it. A stream that has begun runs
// on, since its upstream has outlived the beginning.
func (st *reduction) enforceQuarantine(j chutequarantine.Judgement) {
	if j.Verdict != chutequarantine.VerdictQuarantined {
		return
	}
	refusal, quarantined := st.quarantineRefusalFor(j.Fingerprint)
	if !quarantined {
		return
	}
	for i := st.requests.Iterator(); !i.Done(); {
		if _, r, _ := i.Next(); r.Fingerprint == j.Fingerprint && !r.answerBegun {
			st.cancelCall(r)
			st.giveUp(r, refusal)
		}
	}
	var ended chutebatch.Ended
	st.collector, ended = st.collector.WithoutRequest(j.Fingerprint)
	st.settleJobs(ended)
}

// Quarantine returns what the node has heard of crashes and judgements.
func (s State) Quarantine() chutequarantine.Quarantine {
	return s.quarantine
}

package chuterelay

import (
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chutequarantine"
)

// endedRetry is when a caller may come back under whose request upstreams have ended,
// before it is known whether that was its doing: they are back after some seconds.
const endedRetry = 5 * time.Second

// quarantineRefusal is what a caller hears whose request is set aside until a time from now.
func quarantineRefusal(after time.Duration) Refusal {
	return Refusal{
		Kind: RefusedNotRun, Reason: "upstreams ended each time that they ran this request; it is set aside",
		RetryAfter: after,
	}
}

// quarantined says why a request is not handed to any upstream.
//
// A request that ends the process of whoever runs it comes again with each retry of its
// caller, at any node. Without this it takes one upstream after another out of its pool,
// each with all calls that stand beside it.
func (st *step) quarantined(fingerprint string) (Refusal, bool) {
	until, held := st.quarantine.Holds(fingerprint)
	if !held || !st.now.Before(until) {
		return Refusal{}, false
	}

	return quarantineRefusal(until.Sub(st.now)), true
}

// suspect names the request to other nodes.
func (r request) suspect() chutequarantine.Suspect {
	return chutequarantine.Suspect{Fingerprint: r.Fingerprint, Workspace: r.Workspace.Name, Pipeline: r.Pipeline.Name}
}

// suspectsOf names the requests whose parts are in a call.
func suspectsOf(call chutebatch.Call) []chutequarantine.Suspect {
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

// crashed takes in that an upstream ended while it ran requests of this node.
//
// One that was leaving, or had left the list already, has ended as it was told to, whatever
// it still ran: the entry of one that crashes runs out seconds later.
func (st *step) crashed(u chutefleet.Upstream, evidence string, suspects ...chutequarantine.Suspect) {
	known, listed := st.fleet.Get(u.ID)
	serving := listed && known.State == chutefleet.StateReady || st.fleet.IsReplaced(u.ID)
	if !serving || len(suspects) == 0 {
		return
	}
	seen := chutequarantine.Crash{Upstream: u.ID, Pool: u.Pool, Suspects: suspects}
	var news bool
	if st.quarantine, news = st.quarantine.WithCrash(seen, true, st.now); !news {
		return
	}
	st.do(NoteCrash{Crash: seen, Evidence: evidence})
	st.do(TellCrash{Crash: st.quarantine.Known(u.ID)})
	st.planJudgement()
}

// endedUnder takes in that an upstream ended while it ran a call with parts.
func (st *step) endedUnder(u chutefleet.Upstream, call chutebatch.Call, evidence string) {
	st.crashed(u, evidence, suspectsOf(call)...)
	st.collector = st.collector.WithUpstreamEnded(call)
}

// clear takes in that an upstream has answered a request: whatever ended beside it, it was
// not the cause.
func (st *step) clear(r request) {
	void := st.quarantine.Suspected(r.Fingerprint)
	if len(void) == 0 {
		return
	}
	j := chutequarantine.Judgement{Suspect: r.suspect(), Verdict: chutequarantine.VerdictCleared, Upstreams: void}
	st.quarantine, _ = st.quarantine.WithJudgement(j, st.now)
	st.do(TellJudgement{Judgement: j})
}

// hearQuarantine takes in what other nodes tell.
func (st *step) hearQuarantine(e QuarantineHeard) {
	for _, c := range e.Crashes {
		st.quarantine, _ = st.quarantine.WithCrash(c, false, st.now)
	}
	for _, j := range e.Judgements {
		var news bool
		if st.quarantine, news = st.quarantine.WithJudgement(j, st.now); news {
			st.do(NoteJudgement{Judgement: j, Heard: true})
			st.enforce(j)
		}
	}
	st.planJudgement()
}

// planJudgement asks for the next look at the crashes.
func (st *step) planJudgement() {
	at := st.quarantine.JudgeAt()
	if at.IsZero() || !st.judgeAt.IsZero() {
		return
	}
	st.judgeAt = at
	st.do(JudgeAt{At: at})
}

// judge sets requests aside that upstreams ended under.
//
// Each node comes to the same verdicts; those that saw an end themselves tell them, so that
// few of hundreds write the same row.
func (st *step) judge() {
	st.quarantine = st.quarantine.Expire(st.now)
	var fresh []chutequarantine.Judgement
	var seen map[string]bool
	st.quarantine, fresh, seen = st.quarantine.Judge(st.now)
	for _, j := range fresh {
		st.do(NoteJudgement{Judgement: j})
		if seen[j.Fingerprint] {
			st.do(TellJudgement{Judgement: j})
		}
		st.enforce(j)
	}
	st.planJudgement()
}

// enforce ends what is under way of a request that is set aside: what waits for its stages
// or its upstream, and calls from which nothing has come yet. An upstream drops a call
// whose connection closes, mostly before it has ended by it. A stream that has begun runs
// on, since its upstream has outlived the beginning.
func (st *step) enforce(j chutequarantine.Judgement) {
	if j.Verdict != chutequarantine.VerdictQuarantined {
		return
	}
	refusal, held := st.quarantined(j.Fingerprint)
	if !held {
		return
	}
	for i := st.requests.Iterator(); !i.Done(); {
		if _, r, _ := i.Next(); r.Fingerprint == j.Fingerprint && !r.begun {
			st.stopCall(r)
			st.giveUp(r, refusal)
		}
	}
	var ended chutebatch.JobChanges
	st.collector, ended = st.collector.WithoutRequest(j.Fingerprint)
	st.settle(ended)
}

// Quarantine returns what the node has heard of crashes and judgements.
func (s State) Quarantine() chutequarantine.Quarantine {
	return s.quarantine
}

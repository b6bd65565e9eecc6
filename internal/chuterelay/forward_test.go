package chuterelay

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chutequarantine"
	"azurechute.example/azurechute/internal/chuteroute"
)

// newCutOffNode returns a node beside some others that has found out that it reaches no upstream.
func newCutOffNode(t testing.TB, others ...Peer) *node {
	n := newNode(t)
	n.on(PeersListed{Peers: append([]Peer{self}, others...)})
	n.failLinks()

	return n
}

// failLinks lets connection attempts to two upstreams and then a probe fail.
func (n *node) failLinks() {
	n.Helper()
	n.on(Arrived{Submission: plainRequest(9000, chuteroute.Unrepeatable)})
	for range 2 {
		n.endCall(takeOne[Send](n), EndUnreachable)
	}
	probes := takeAll[ProbeLinks](n)
	n.Assert(probes, qt.HasLen, 1)
	n.on(LinksProbed{Failed: []string{"u"}})
	n.Assert(n.state.CutOff(), qt.IsTrue)
	n.on(CallerLeft{Handle: 9000})
	n.effects = nil
}

func peerIn(name, zone string) Peer {
	return Peer{Name: name, Zone: zone, Address: name + ":1", Power: 1}
}

func TestLinks(t *testing.T) {
	t.Run("failures at two upstreams have the links probed, one does not", func(t *testing.T) {
		n := newNode(t)
		n.on(Arrived{Submission: plainRequest(1, chuteroute.Unrepeatable)})
		n.endCall(takeOne[Send](n), EndUnreachable)
		expectNo[ProbeLinks](n)
		n.endCall(takeOne[Send](n), EndUnreachable)
		n.Assert(takeOne[ProbeLinks](n).At, qt.Equals, n.now)
	})

	t.Run("a probe that reaches any upstream clears the suspicion", func(t *testing.T) {
		n := newNode(t)
		n.on(Arrived{Submission: plainRequest(1, chuteroute.Unrepeatable)})
		n.endCall(takeOne[Send](n), EndUnreachable)
		n.endCall(takeOne[Send](n), EndUnreachable)
		n.on(LinksProbed{Reached: true})
		n.Assert(n.state.CutOff(), qt.IsFalse)
		n.Assert(n.state.links.suspected(n.now), qt.IsFalse)
	})

	t.Run("a cut off node blames no upstream and is back after two probes", func(t *testing.T) {
		n := newCutOffNode(t, peerIn("n2", "z1"))
		for _, id := range []string{plainPool + "0", plainPool + "1"} {
			n.Assert(n.state.Fleet().Availability(id, n.now).IsAvailable(), qt.IsTrue, qt.Commentf(id))
		}
		n.on(LinksProbed{Reached: true})
		n.Assert(n.state.CutOff(), qt.IsTrue)
		n.on(LinksProbed{Reached: true})
		n.Assert(n.state.CutOff(), qt.IsFalse)
		n.effects = nil
		n.on(Arrived{Submission: plainRequest(1, chuteroute.Repeatable)})
		n.Assert(takeOne[Send](n).Upstream.Pool, qt.Equals, plainPool)
	})

	t.Run("a probe that fails in between starts the count anew", func(t *testing.T) {
		n := newCutOffNode(t, peerIn("n2", "z1"))
		n.on(LinksProbed{Reached: true})
		n.on(LinksProbed{})
		n.on(LinksProbed{Reached: true})
		n.Assert(n.state.CutOff(), qt.IsTrue)
	})
}

// Guards against nodes that stay cut off for good: the list was empty, or had no ready upstream, when a probe was due.
func TestLinksWithoutUpstreams(t *testing.T) {
	leaving := testUpstreams()
	for i := range leaving {
		leaving[i].State = chutefleet.StateLeaving
	}
	for name, list := range map[string][]chutefleet.Upstream{"empty": nil, "all leaving": leaving} {
		t.Run(name, func(t *testing.T) {
			n := newCutOffNode(t, peerIn("n2", "z1"))
			n.on(UpstreamsListed{Upstreams: list})
			for range 3 {
				n.on(LinksProbed{})
				n.Assert(takeOne[ProbeLinks](n).At, qt.Equals, n.now.Add(linkProbeInterval))
			}
			returned := testUpstreams()
			for i := range returned {
				returned[i].ID, returned[i].Name = returned[i].ID+"-new", returned[i].Name+"-new"
			}
			n.on(UpstreamsListed{Upstreams: returned})
			n.on(LinksProbed{})
			for range returnProbes {
				n.Assert(takeOne[ProbeLinks](n).Upstreams, qt.Not(qt.HasLen), 0)
				n.on(LinksProbed{Reached: true})
			}
			n.Assert(n.state.CutOff(), qt.IsFalse)
			n.effects = nil
			n.on(Arrived{Submission: plainRequest(1, chuteroute.Repeatable)})
			n.Assert(takeOne[Send](n).Upstream.Pool, qt.Equals, plainPool)
		})
	}

	t.Run("a node that is not cut off has nothing to probe", func(t *testing.T) {
		n := newNode(t)
		n.on(UpstreamsListed{})
		n.Assert(n.state.CutOff(), qt.IsFalse)
		expectNo[ProbeLinks](n)
	})
}

func TestForward(t *testing.T) {
	t.Run("a request is forwarded on arrival, first within the zone", func(t *testing.T) {
		n := newCutOffNode(t, peerIn("far", "z2"), peerIn("near", "z1"))
		n.on(Arrived{Submission: streamRequest(1, chuteroute.Resumable)})
		n.Assert(takeOne[Send](n).Peer.Name, qt.Equals, "near")
		expectNo[RequestJob](n)
	})

	t.Run("a peer that can't serve is followed by another one", func(t *testing.T) {
		n := newCutOffNode(t, peerIn("far", "z2"), peerIn("near", "z1"))
		n.on(Arrived{Submission: plainRequest(1, chuteroute.Unrepeatable)})
		n.endForward(takeOne[Send](n), Refusal{Kind: RefusedNotRun, Elsewhere: true})
		n.Assert(takeOne[Send](n).Peer.Name, qt.Equals, "far")
	})

	t.Run("a refusal for another reason is the caller's", func(t *testing.T) {
		n := newCutOffNode(t, peerIn("near", "z1"), peerIn("far", "z2"))
		n.on(Arrived{Submission: plainRequest(1, chuteroute.Unrepeatable)})
		want := Refusal{Kind: RefusedNotRun, Reason: "the queues are too long", RetryAfter: 2 * time.Second}
		n.endForward(takeOne[Send](n), want)
		n.Assert(takeOne[Refuse](n).Refusal, qt.Equals, want)
	})

	t.Run("without any other node the caller is refused at once", func(t *testing.T) {
		n := newCutOffNode(t)
		n.on(Arrived{Submission: plainRequest(1, chuteroute.Unrepeatable)})
		refusal := takeOne[Refuse](n).Refusal
		n.Assert(refusal.Kind, qt.Equals, RefusedNotRun)
		n.Assert(refusal.RetryAfter > 0, qt.IsTrue)
	})

	t.Run("no request is sent to a third node", func(t *testing.T) {
		n := newCutOffNode(t, peerIn("n2", "z1"))
		r := plainRequest(1, chuteroute.Repeatable)
		r.Forwarded = &Forwarded{Node: "n2"}
		n.on(Arrived{Submission: r})
		expectNo[Send](n)
		n.Assert(takeOne[Refuse](n).Refusal.Elsewhere, qt.IsTrue)
	})

	t.Run("what waits for its stages when the cut is found is forwarded", func(t *testing.T) {
		n := newNode(t)
		n.on(PeersListed{Peers: []Peer{self, peerIn("n2", "z1")}})
		n.on(Arrived{Submission: streamRequest(1, chuteroute.Resumable)})
		n.effects = nil
		n.failLinks()
		r, _ := n.state.requests.Get(1)
		n.Assert(r.current.peer.Name, qt.Equals, "n2")
		n.Assert(r.stages[0].jobRequestID, qt.Equals, uint64(0))
	})

	t.Run("a body does not leave the regions in which the request may run", func(t *testing.T) {
		foreign := peerIn("n2", "z9")
		foreign.Region = "elsewhere"
		n := newCutOffNode(t, foreign)
		r := plainRequest(1, chuteroute.Repeatable)
		r.Pipeline.Regions = chuteroute.NewRegions("home")
		n.on(Arrived{Submission: r})
		expectNo[Send](n)
	})
}

// Guards against an unrepeatable request that runs twice because the peer that it was forwarded to is lost.
func TestForwardAtMostOnce(t *testing.T) {
	for _, end := range []AttemptEnd{EndBroken, EndSilent} {
		t.Run(string(end), func(t *testing.T) {
			n := newCutOffNode(t, peerIn("n2", "z1"), peerIn("n3", "z1"))
			n.on(Arrived{Submission: plainRequest(1, chuteroute.Unrepeatable)})
			n.endCall(takeOne[Send](n), end)
			expectNo[Send](n)
			n.Assert(takeOne[Refuse](n).Refusal.Kind, qt.Equals, RefusedFailed)
		})
	}

	t.Run("a peer that was never reached is followed by another one", func(t *testing.T) {
		n := newCutOffNode(t, peerIn("n2", "z1"), peerIn("n3", "z1"))
		n.on(Arrived{Submission: plainRequest(1, chuteroute.Unrepeatable)})
		first := takeOne[Send](n)
		n.endCall(first, EndUnreachable)
		n.Assert(takeOne[Send](n).Peer.Name, qt.Not(qt.Equals), first.Peer.Name)
	})

	t.Run("a peer tells no caller that a request has not run which may have run before", func(t *testing.T) {
		n := newNode(t)
		r := plainRequest(1, chuteroute.Repeatable)
		r.Forwarded = &Forwarded{Node: "n2", PossibleRuns: 1}
		n.on(Arrived{Submission: r})
		n.endCall(takeOne[Send](n), EndBroken)
		n.Assert(takeOne[Refuse](n).Refusal.Kind, qt.Equals, RefusedFailed)
	})
}

// Guards against requests that are counted twice for the retry budget, at both nodes, or at none.
func TestForwardCountedOnce(t *testing.T) {
	n := newCutOffNode(t, peerIn("n2", "z1"))
	n.on(Arrived{Submission: plainRequest(1, chuteroute.Repeatable)})
	n.Assert(takeOne[Send](n).Counted, qt.IsFalse)

	local := newNode(t)
	local.on(PeersListed{Peers: []Peer{self, peerIn("n2", "z1")}})
	local.on(Arrived{Submission: plainRequest(1, chuteroute.Repeatable)})
	local.endCall(takeOne[Send](local), EndUnreachable)
	local.endCall(takeOne[Send](local), EndUnreachable)
	forwarded := takeOne[Send](local)
	local.Assert(forwarded.Peer.Name, qt.Equals, "n2")
	local.Assert(forwarded.Counted, qt.IsTrue)
}

// Guards against one peer that gets all that a cut off node forwards.
func TestForwardSpread(t *testing.T) {
	var others []Peer
	for i := range 20 {
		others = append(others, peerIn(fmt.Sprint("n", i+2), "z1"))
	}
	n := newCutOffNode(t, others...)
	const requests = 200
	byPeer := map[string]int{}
	for i := range uint64(requests) {
		n.on(Arrived{Submission: plainRequest(1+i, chuteroute.Repeatable)})
		byPeer[takeOne[Send](n).Peer.Name]++
	}
	for name, count := range byPeer {
		n.Assert(count <= 2*requests/len(others), qt.IsTrue, qt.Commentf("%s got %d of %d", name, count, requests))
	}
	n.Assert(len(byPeer) >= len(others)*9/10, qt.IsTrue)
}

// Guards against a node without links that goes on collecting parts for the others.
func TestCutOffCollector(t *testing.T) {
	n := newCutOffNode(t, peerIn("n2", "z1"))
	n.on(JobReceived{Token: 7, Job: peerJob("r", 2)})
	rejected := takeOne[RejectJob](n)
	n.Assert(rejected.Leaving, qt.IsTrue)
	n.Assert(rejected.Reason, qt.Equals, cutOffReason)
}

// Guards against a node without links that has upstreams taken for crashed, and requests set aside for it.
func TestCutOffReportsNoCrash(t *testing.T) {
	n := newNode(t)
	n.on(PeersListed{Peers: []Peer{self, peerIn("n2", "z1")}})
	n.on(Arrived{Submission: plainRequest(1, chuteroute.Unrepeatable)})
	broken := takeOne[Send](n)
	n.failLinks()
	n.on(AttemptEnded{Handle: broken.Handle, Attempt: broken.Attempt, End: EndBroken, UpstreamEnded: true})
	expectNo[AnnounceCrash](n)
}

// endForward reports that a peer refused a request.
func (n *node) endForward(s Send, refusal Refusal) {
	n.on(AttemptEnded{Handle: s.Handle, Attempt: s.Attempt, End: EndRefused, Refusal: &refusal})
}

// Guards against a stage that is asked for without its inputs, when a request comes back that was forwarded
// after later stages had taken in and freed what earlier ones had made.
func TestForwardedRequestComesBack(t *testing.T) {
	n := newNode(t)
	n.on(PeersListed{Peers: []Peer{self, peerIn("n2", "z1")}})
	n.on(Arrived{Submission: streamRequest(1, chuteroute.Resumable)})
	r, _ := n.state.requests.Get(1)
	r = r.withStage(0, stageState{done: true})
	r = r.withStage(1, stageState{jobRequestID: 77})
	n.state.requests = n.state.requests.Set(1, r)
	st := reduction{State: n.state, now: n.now}
	st.forwardOrRefuse(r, cutOffRefusal())
	n.state, n.effects = st.State, st.effects
	forwarded := takeOne[Send](n)
	n.Assert(forwarded.Peer.Name, qt.Equals, "n2")
	n.effects = nil
	n.endForward(forwarded, Refusal{Kind: RefusedNotRun, Elsewhere: true})
	for _, job := range append(takeJobs(n), n.state.collector.WaitingJobs()...) {
		n.Assert(job.Stage, qt.Equals, 0)
		n.Assert(job.Key, qt.Equals, "k")
	}
	r, _ = n.state.requests.Get(1)
	n.Assert(r.stages[0].done, qt.IsFalse)
}

// takeJobs removes and returns the jobs that were requested from peers.
func takeJobs(n *node) []chutebatch.Job {
	var jobs []chutebatch.Job
	for _, e := range takeAll[RequestJob](n) {
		jobs = append(jobs, e.Job)
	}

	return jobs
}

// Guards against a stream that is broken off for good because its node loses its links while it runs.
func TestStreamGoesOnThroughPeer(t *testing.T) {
	n := newNode(t)
	n.on(PeersListed{Peers: []Peer{self, peerIn("n2", "z1")}})
	r := streamRequest(1, chuteroute.Resumable)
	r.Parts, r.Pipeline.Stages = nil, nil
	n.on(Arrived{Submission: r})
	local := takeOne[Send](n)
	n.on(AttemptBegan{Handle: 1, Attempt: local.Attempt})
	n.failLinks()
	n.endCall(local, EndBroken)
	forwarded := takeOne[Send](n)
	n.Assert(forwarded.Peer.Name, qt.Equals, "n2")
	n.Assert(forwarded.Resume, qt.IsTrue)
	n.Assert(forwarded.PossibleRuns, qt.Equals, 1)
}

// Guards against a caller that is told that its request has not run, although it has run at the peer before that
// could reach no upstream any more.
func TestForwardedRequestThatHasRun(t *testing.T) {
	t.Run("the peer claims nothing", func(t *testing.T) {
		n := newNode(t)
		r := plainRequest(1, chuteroute.Repeatable)
		r.Forwarded = &Forwarded{Node: "n2"}
		n.on(Arrived{Submission: r})
		n.endCall(takeOne[Send](n), EndBroken)
		n.endCall(takeOne[Send](n), EndUnreachable)
		for _, s := range takeAll[Send](n) {
			n.endCall(s, EndUnreachable)
		}
		refusal := takeOne[Refuse](n).Refusal
		n.Assert(refusal.Kind, qt.Equals, RefusedFailed)
		n.Assert(refusal.Elsewhere, qt.IsFalse)
	})

	t.Run("it is quarantined while the peer has it", func(t *testing.T) {
		n := newCutOffNode(t, peerIn("n2", "z1"), peerIn("n3", "z1"))
		n.on(Arrived{Submission: n.withFingerprint(plainRequest(1, chuteroute.Unrepeatable), "p")})
		n.Assert(takeOne[Send](n).Peer.Name, qt.Not(qt.Equals), "")
		n.on(QuarantineAnnounced{Judgements: []chutequarantine.Judgement{{
			Suspect: chutequarantine.Suspect{Fingerprint: "p"}, Verdict: chutequarantine.VerdictQuarantined, Upstreams: []string{"a", "b", "c"},
		}}})
		takeOne[CancelSend](n)
		n.Assert(takeOne[Refuse](n).Refusal.Kind, qt.Equals, RefusedFailed)
	})

	t.Run("the origin believes no claim that it may run elsewhere", func(t *testing.T) {
		n := newCutOffNode(t, peerIn("n2", "z1"), peerIn("n3", "z1"))
		n.on(Arrived{Submission: plainRequest(1, chuteroute.Repeatable)})
		n.endForward(takeOne[Send](n), Refusal{Kind: RefusedFailed, Elsewhere: true})
		expectNo[Send](n)
		n.Assert(takeOne[Refuse](n).Refusal.Kind, qt.Equals, RefusedFailed)
	})
}

package chuterelay

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutecanary"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteroute"
	"azurechute.example/azurechute/internal/chutestream"
)

// versionedUpstreams returns the upstreams of the tests with engines of the versions, one for each.
func versionedUpstreams(versions ...string) []chutefleet.Upstream {
	var all []chutefleet.Upstream
	for _, u := range testUpstreams() {
		if u.Pool != enginePool {
			all = append(all, u)
		}
	}
	for i, version := range versions {
		u := testUpstreams()[0]
		u.Version = version
		u.ID = fmt.Sprint(version, "-", i)
		u.Name, u.Address = u.ID, u.ID+":1"
		all = append(all, u)
	}

	return all
}

// newVersionedNode returns a node whose engines are of the versions, one for each.
func newVersionedNode(t *testing.T, versions ...string) *node {
	t.Helper()
	n := newNode(t)
	n.on(UpstreamsListed{Upstreams: versionedUpstreams(versions...)})
	n.effects = nil

	return n
}

// unstagedStream returns a stream without stages that may be resumed.
func unstagedStream(handle uint64) Submission {
	s := streamRequest(handle, chuteroute.Resumable)
	s.Parts = []int{0, 0}
	// Without the affinity all upstreams are chosen alike.
	s.Affinity = ""

	return s
}

// TestResumeKeepsVersion guards against a stream that a node sends on to an upstream of another software
// version than the one that wrote the first event.
func TestResumeKeepsVersion(t *testing.T) {
	t.Run("the call goes to the version that wrote the first event", func(t *testing.T) {
		for handle := range uint64(20) {
			n := newVersionedNode(t, "v1", "v1", "v2", "v2", "v3", "v3")
			n.on(Arrived{Submission: unstagedStream(handle)})
			first := takeOne[Send](n)
			n.on(AttemptBegan{Handle: handle, Attempt: first.Attempt})
			n.on(AttemptEnded{Handle: handle, Attempt: first.Attempt, End: EndBroken, Events: 1})
			again := takeOne[Send](n)
			n.Assert(again.Upstream.Version, qt.Equals, first.Upstream.Version)
			n.Assert(again.Upstream.ID, qt.Not(qt.Equals), first.Upstream.ID)
		}
	})

	t.Run("without an upstream of the version the request ends", func(t *testing.T) {
		n := newVersionedNode(t, "v1", "v2")
		n.on(Arrived{Submission: unstagedStream(1)})
		first := takeOne[Send](n)
		n.on(AttemptBegan{Handle: 1, Attempt: first.Attempt})
		others := map[string]string{"v1": "v2", "v2": "v1"}
		n.on(UpstreamsListed{Upstreams: versionedUpstreams(others[first.Upstream.Version])})
		n.on(AttemptEnded{Handle: 1, Attempt: first.Attempt, End: EndBroken, Events: 1})
		n.Assert(takeAll[Send](n), qt.HasLen, 0)
		n.Assert(takeAll[Refuse](n), qt.HasLen, 1)
	})

	t.Run("an attempt without an event binds nothing", func(t *testing.T) {
		n := newVersionedNode(t, "v1", "v2")
		n.on(Arrived{Submission: unstagedStream(1)})
		first := takeOne[Send](n)
		n.on(AttemptEnded{Handle: 1, Attempt: first.Attempt, End: EndBroken})
		n.Assert(takeOne[Send](n).Upstream.Version, qt.Not(qt.Equals), first.Upstream.Version)
	})
}

// takeUp returns a stream that began at an upstream of a version.
func takeUp(handle uint64, version string) Submission {
	s := unstagedStream(handle)
	s.Binding = chutestream.Binding{Pool: enginePool, Version: version, Upstream: "gone"}

	return s
}

// TestTakeUp guards against a stream that is taken up at another version than the one that began it, and against
// work and waiting for a version that does not serve.
func TestTakeUp(t *testing.T) {
	t.Run("it goes to the version that began it", func(t *testing.T) {
		for handle := range uint64(20) {
			n := newVersionedNode(t, "v1", "v2", "v2", "v2")
			n.on(Arrived{Submission: takeUp(handle, "v1")})
			n.Assert(takeOne[Send](n).Upstream.Version, qt.Equals, "v1")
		}
	})

	t.Run("without an upstream of the version it is refused before any stage", func(t *testing.T) {
		n := newVersionedNode(t, "v2", "v2")
		s := takeUp(1, "v1")
		s.Parts = []int{1, 2}
		n.on(Arrived{Submission: s})
		expectNo[RunCall](n)
		n.Assert(n.expectRefused(RefusedNotRun).RetryAfter > 0, qt.IsTrue)
	})

	t.Run("it is refused when the last upstream of its version leaves while its stages run", func(t *testing.T) {
		n := newVersionedNode(t, "v1", "v2")
		s := takeUp(1, "v1")
		s.Parts = []int{1, 2}
		n.on(Arrived{Submission: s})
		n.on(UpstreamsListed{Upstreams: versionedUpstreams("v2")})
		n.expectRefused(RefusedNotRun)
	})

	t.Run("it is refused if a later process of the upstream that began it runs another version", func(t *testing.T) {
		n := newVersionedNode(t, "v1", "v2")
		s := takeUp(1, "v1")
		s.Binding.Upstream = "v2-1"
		n.on(Arrived{Submission: s})
		n.expectRefused(RefusedNotRun)
	})

	t.Run("it is refused if its pool is no target any more", func(t *testing.T) {
		n := newVersionedNode(t, "v1")
		s := takeUp(1, "v1")
		s.Binding.Pool = plainPool
		n.on(Arrived{Submission: s})
		n.expectRefused(RefusedNotRun)
	})

	t.Run("a rest of the version's upstreams is its Retry-After", func(t *testing.T) {
		n := newVersionedNode(t, "v1", "v2")
		u, _ := n.state.Fleet().Current("v1-0")
		n.on(NoticeReceived{Upstream: u, Notice: Notice{Rest: 4 * time.Second}})
		n.on(Arrived{Submission: takeUp(1, "v1")})
		n.Assert(n.expectRefused(RefusedNotRun).RetryAfter >= 4*time.Second, qt.IsTrue)
	})
}

// TestTakeUpDuringRollout guards against a stream that goes on at a barred version, and against a judgement of a
// version by calls that could go nowhere else.
func TestTakeUpDuringRollout(t *testing.T) {
	order := chutecanary.Order{Pool: enginePool, Version: "v2", Duration: 20 * time.Second, Revision: 9}
	newNode := func(t *testing.T, phase chutecanary.Phase) *node {
		t.Helper()
		n := newVersionedNode(t, "v1", "v1", "v2", "v2")
		n.state.settings.Rollouts = chutecanary.Bounds{Share: 0.1, Tolerance: 50, RollbackDelay: 5 * time.Second}
		n.begin(order, phase)
		n.effects = nil

		return n
	}

	t.Run("on trial both versions get their streams, which count as sent alone", func(t *testing.T) {
		for _, version := range []string{"v1", "v2"} {
			n := newNode(t, chutecanary.PhaseTrial)
			for handle := range uint64(10) {
				n.on(Arrived{Submission: takeUp(handle, version)})
				sent := takeOne[Send](n)
				n.Assert(sent.Upstream.Version, qt.Equals, version)
				n.endCall(sent, EndErrored)
				takeAll[Refuse](n)
				takeAll[Send](n)
			}
			pair := n.state.rollouts.progress[enginePool].tally["stream"]
			n.Assert(pair.Old.Sent+pair.New.Sent >= 10, qt.IsTrue)
			n.Assert(pair.Old.Failures+pair.New.Failures, qt.Equals, 0)
		}
	})

	t.Run("after a roll-back streams of the new version are refused", func(t *testing.T) {
		n := newNode(t, chutecanary.PhaseRolledBack)
		n.on(Arrived{Submission: takeUp(1, "v2")})
		n.expectRefused(RefusedNotRun)
	})

	t.Run("after completion streams of the old version are refused", func(t *testing.T) {
		n := newNode(t, chutecanary.PhaseCompleted)
		n.on(Arrived{Submission: takeUp(1, "v1")})
		n.expectRefused(RefusedNotRun)
	})
}

// TestUpstreamRestartsAtOtherVersion guards against a stream that is resumed by the entry of a process that had been
// replaced by one of another version when it began.
func TestUpstreamRestartsAtOtherVersion(t *testing.T) {
	n := newVersionedNode(t, "v1", "v1")
	n.on(Arrived{Submission: unstagedStream(1)})
	sent := takeOne[Send](n)
	n.on(AttemptBegan{Handle: 1, Attempt: sent.Attempt})
	list := versionedUpstreams("v1", "v1")
	for i := range list {
		if list[i].ID == sent.Upstream.ID {
			list[i].ID, list[i].Version, list[i].StartedAt = "next", "v2", n.now
		}
	}
	n.on(UpstreamsListed{Upstreams: list})
	expectNo[Send](n)
	n.expectRefused(RefusedFailed)
}

// TestForwardedStreamKeepsVersion guards against a stream whose first event came through a peer and that goes on at
// another version.
func TestForwardedStreamKeepsVersion(t *testing.T) {
	begin := func(t *testing.T, b chutestream.Binding) *node {
		t.Helper()
		n := newCutOffNode(t, peerIn("n2", "z1"))
		n.on(UpstreamsListed{Upstreams: versionedUpstreams("v1", "v2")})
		n.on(Arrived{Submission: unstagedStream(1)})
		forwarded := takeOne[Send](n)
		n.on(AttemptBegan{Handle: 1, Attempt: forwarded.Attempt, Binding: b})
		n.on(LinksProbed{Reached: true})
		n.on(LinksProbed{Reached: true})
		n.effects = nil
		n.on(AttemptEnded{Handle: 1, Attempt: forwarded.Attempt, End: EndBroken, Events: 1})

		return n
	}

	t.Run("it goes on at the version that the peer named", func(t *testing.T) {
		n := begin(t, chutestream.Binding{Pool: enginePool, Version: "v2", Upstream: "u"})
		n.Assert(takeOne[Send](n).Upstream.Version, qt.Equals, "v2")
	})

	t.Run("if the peer named none it is broken off", func(t *testing.T) {
		n := begin(t, chutestream.Binding{})
		expectNo[Send](n)
		n.expectRefused(RefusedFailed)
	})
}

// TestEventsAheadOfReducer guards against a stream that is resumed at another version, since the first event of a
// cancelled attempt reached the caller before the reducer heard of it.
func TestEventsAheadOfReducer(t *testing.T) {
	n := newVersionedNode(t, "v1", "v2", "v2")
	n.on(Arrived{Submission: unstagedStream(1)})
	first := takeOne[Send](n)
	n.on(AttemptEnded{Handle: 1, Attempt: first.Attempt, End: EndBroken})
	again := takeOne[Send](n)
	b := chutestream.Binding{Pool: enginePool, Version: first.Upstream.Version, Upstream: first.Upstream.Name}
	n.on(AttemptEnded{Handle: 1, Attempt: again.Attempt, End: EndOtherVersion, Binding: b})
	n.Assert(takeOne[Send](n).Upstream.Version, qt.Equals, first.Upstream.Version)
}

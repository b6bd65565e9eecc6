package chuterelay

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteroute"
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

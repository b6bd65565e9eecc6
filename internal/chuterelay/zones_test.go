package chuterelay

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteroute"
)

// withFarZone returns a node that knows six upstreams of each pool in another zone
// and two in its own.
func withFarZone(t testing.TB) *node {
	t.Helper()
	n := newNode(t)
	all := testUpstreams()
	for _, pool := range []string{enginePool, plainPool, partPool} {
		for i := range 6 {
			all = append(all, chutefleet.Upstream{
				ID: fmt.Sprint("far-", pool, i), Name: fmt.Sprint("far-", pool, i), Pool: pool, Address: "far:1", Zone: "z2", Slots: 8,
				State: chutefleet.StateReady,
			})
		}
	}
	n.on(UpstreamsListed{Upstreams: all})
	n.effects = nil

	return n
}

// sendUntilFarZone sends plain requests until one is sent to the other zone; the earlier ones keep the
// upstreams of the node's own zone busy.
func (n *node) sendUntilFarZone(handle *uint64) Send {
	n.Helper()
	for range 200 {
		*handle++
		s := n.submit(plainRequest(*handle, chuteroute.Repeatable))
		if s.Upstream.Zone == "z2" {
			return s
		}
	}
	n.Fatal("no request ever goes to the other zone")

	return Send{}
}

// Guards against a request that is written to a connection into a zone that may be cut off: it reaches its upstream when
// the partition is over, after it was given up, and after the upstream said that it leaves.
func TestFreshConnectionToSuspectedZone(t *testing.T) {
	n := withFarZone(t)
	handle := uint64(0)
	s := n.sendUntilFarZone(&handle)
	n.Assert(s.FreshConnection, qt.IsFalse)
	n.on(AttemptEnded{Handle: s.Handle, Attempt: s.Attempt, End: EndSilent, Silent: true})
	takeAll[Send](n)
	n.Assert(n.sendUntilFarZone(&handle).FreshConnection, qt.IsTrue)
	handle++
	n.state.zoneSilence = n.state.zoneSilence.withReply("z2")
	n.Assert(n.sendUntilFarZone(&handle).FreshConnection, qt.IsFalse)

	n.state.zoneSilence = n.state.zoneSilence.withSilent("z2", "far", n.now)
	n.Assert(n.state.zoneSilence.suspected("z1", n.now), qt.IsFalse)
	n.Assert(n.state.zoneSilence.suspected("z2", n.now.Add(silenceTTL-1)), qt.IsTrue)
	n.Assert(n.state.zoneSilence.suspected("z2", n.now.Add(silenceTTL)), qt.IsFalse)
}

func TestZoneCutOff(t *testing.T) {
	t.Run("after two silent upstreams no request is sent to the zone", func(t *testing.T) {
		// A zone is cut off. Its upstreams neither accept nor refuse connections, and each
		// attempt takes a third of a second to fail. Without the detection, requests would
		// try these upstreams one by one.
		n := withFarZone(t)
		handle := uint64(0)
		n.silenceFarZone(&handle)
		for range 30 {
			handle++
			n.Assert(n.submit(plainRequest(handle, chuteroute.Repeatable)).Upstream.Zone, qt.Equals, "z1")
		}
	})

	t.Run("a successful probe ends the cut-off", func(t *testing.T) {
		n := withFarZone(t)
		handle := uint64(0)
		lost := n.silenceFarZone(&handle)
		for range 10 {
			n.pass(probeInterval)
			for _, id := range lost {
				n.on(ProbeEnded{Upstream: id})
			}
			n.Assert(n.state.zoneSilence.cutOff("z2", n.now), qt.IsTrue)
		}
		n.on(ProbeEnded{Upstream: lost[0], Alive: true})
		n.Assert(takeOne[LogZone](n), qt.DeepEquals, LogZone{Zone: "z2"})
		n.Assert(n.state.zoneSilence.cutOff("z2", n.now), qt.IsFalse)
	})

	t.Run("refused connections do not count as silence, since something replies", func(t *testing.T) {
		n := withFarZone(t)
		handle := uint64(0)
		for range 2 {
			s := n.sendUntilFarZone(&handle)
			n.on(AttemptEnded{Handle: s.Handle, Attempt: s.Attempt, End: EndUnreachable})
			takeAll[Send](n)
		}
		n.Assert(n.state.zoneSilence.cutOff("z2", n.now), qt.IsFalse)
	})

	t.Run("the node's own zone never counts as cut off", func(t *testing.T) {
		c := qt.New(t)
		z := newZoneSilence("z1").withSilent("z1", "a", start).withSilent("z1", "b", start)
		c.Assert(z.cutOff("z1", start), qt.IsFalse)
	})

	t.Run("stages are collected and run in a reachable zone", func(t *testing.T) {
		// A request was planned for the other zone, whose collectors are all silent. Asking
		// them in turn would use up all attempts and the caller's time.
		n := withFarZone(t)
		var all []Peer
		for i := range 20 {
			all = append(all, Peer{Name: fmt.Sprint("far", i), Zone: "z2", Power: 1})
		}
		n.on(PeersListed{Peers: append(all, self)})
		handle := uint64(100)
		n.silenceFarZone(&handle)
		n.on(Arrived{Submission: streamRequest(1, chuteroute.Resumable)})
		expectNo[RequestJob](n)
		n.Assert(takeOne[RunCall](n).Upstream.Zone, qt.Equals, "z1")
	})

	t.Run("silent nodes count as silent endpoints too", func(t *testing.T) {
		n := withPeer(t)
		n.on(Arrived{Submission: streamRequest(1, chuteroute.Resumable)})
		asked := takeOne[RequestJob](n)
		n.on(JobFailed{JobRequestID: asked.JobRequestID, PeerLost: true, PeerSilent: true, Reason: "silent"})
		known, _ := n.state.zoneSilence.silent.Get("z2")
		n.Assert(known, qt.HasLen, 1)
	})
}

// silenceFarZone makes two upstreams of the other zone silent and returns their ids.
func (n *node) silenceFarZone(handle *uint64) []string {
	n.Helper()
	var lost []string
	for range minSilentEndpoints {
		s := n.sendUntilFarZone(handle)
		n.on(AttemptEnded{Handle: s.Handle, Attempt: s.Attempt, End: EndUnreachable, Silent: true})
		takeAll[Send](n)
		lost = append(lost, s.Upstream.ID)
	}
	logged := takeOne[LogZone](n)
	n.Assert(logged.CutOff, qt.IsTrue)
	n.Assert(logged.Silent, qt.HasLen, minSilentEndpoints)
	n.effects = nil
	n.pass(time.Millisecond)

	return lost
}

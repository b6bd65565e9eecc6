package chuterelay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteroute"
)

// expectSentTo sends plain requests and fails unless all of them are sent to one zone.
func (n *node) expectSentTo(zone string, handle *uint64) {
	n.Helper()
	for range 30 {
		*handle++
		n.Assert(n.submit(plainRequest(*handle, chuteroute.Repeatable)).Upstream.Zone, qt.Equals, zone)
	}
}

func TestEvacuation(t *testing.T) {
	t.Run("nothing is sent to an evacuated zone until it is taken back", func(t *testing.T) {
		n := withFarZone(t)
		handle := uint64(0)
		n.on(ZonesEvacuated{Zones: []string{"z2"}})
		n.Assert(takeOne[LogEvacuation](n), qt.Equals, LogEvacuation{Zone: "z2", Evacuated: true})
		n.expectSentTo("z1", &handle)
		n.on(ZonesEvacuated{})
		n.Assert(takeOne[LogEvacuation](n), qt.Equals, LogEvacuation{Zone: "z2"})
		n.sendUntilFarZone(&handle)
	})

	t.Run("the node's own zone can be evacuated too", func(t *testing.T) {
		n := withFarZone(t)
		handle := uint64(0)
		n.on(ZonesEvacuated{Zones: []string{"z1"}})
		n.expectSentTo("z2", &handle)
		n.on(ZonesEvacuated{Zones: []string{"z2"}})
		n.expectSentTo("z1", &handle)
	})

	t.Run("an upstream listed in the zone after the evacuation began gets no call", func(t *testing.T) {
		n := withFarZone(t)
		n.on(ZonesEvacuated{Zones: []string{"z2"}})
		n.on(UpstreamsListed{Hold: true, Upstreams: []chutefleet.Upstream{{
			ID: "new", Name: "new", Pool: plainPool, Zone: "z2", Slots: 99, State: chutefleet.StateReady,
		}}})
		handle := uint64(0)
		n.expectSentTo("z1", &handle)
	})

	t.Run("a stream that runs in the zone continues, and is resumed in another zone if it breaks", func(t *testing.T) {
		// The caller has the first events. Its engine may finish the answer; if the stream
		// breaks instead, the rest must come from another zone.
		n := withFarZone(t)
		n.on(ZonesEvacuated{Zones: []string{"z1"}})
		sent := n.submit(streamRequest(1, chuteroute.Resumable))
		n.Assert(sent.Upstream.Zone, qt.Equals, "z2")
		n.on(AttemptBegan{Handle: 1, Attempt: sent.Attempt})
		n.on(ZonesEvacuated{Zones: []string{"z2"}})
		expectNo[CancelSend](n)
		n.endCall(sent, EndBroken)
		for range 2 {
			for _, call := range n.answerParts() {
				n.Assert(call.Upstream.Zone, qt.Equals, "z1")
			}
		}
		again := takeOne[Send](n)
		n.Assert(again.Upstream.Zone, qt.Equals, "z1")
		n.Assert(again.Resume, qt.IsTrue)
	})

	t.Run("an unrepeatable call that runs in the zone is not cancelled", func(t *testing.T) {
		n := withFarZone(t)
		n.on(ZonesEvacuated{Zones: []string{"z1"}})
		sent := n.submit(plainRequest(1, chuteroute.Unrepeatable))
		n.on(ZonesEvacuated{Zones: []string{"z2"}})
		expectNo[CancelSend](n)
		n.endCall(sent, EndAnswered)
		takeOne[Deliver](n)
	})

	t.Run("parts that wait at a collector go to another zone at once", func(t *testing.T) {
		// All slots of the pool are taken when the evacuation begins; the waiting parts must
		// not get a slot that becomes free in the evacuated zone.
		n := withFarZone(t)
		n.on(Arrived{Submission: manyPartsRequest(1)})
		first := takeAll[RunCall](n)
		n.Assert(first, qt.HasLen, 8)
		n.on(ZonesEvacuated{Zones: []string{"z2"}})
		for _, call := range first {
			n.answerCall(call)
		}
		for _, call := range takeAll[RunCall](n) {
			n.Assert(call.Upstream.Zone, qt.Equals, "z1")
		}
	})

	t.Run("results held in the zone are used, and no call is sent to free them", func(t *testing.T) {
		n := withFarZone(t)
		n.on(ZonesEvacuated{Zones: []string{"z1"}})
		sent := n.submit(streamRequest(1, chuteroute.Resumable))
		takeAll[FreeResults](n) // those of the first stage, before the zone was evacuated
		n.on(ZonesEvacuated{Zones: []string{"z2"}})
		n.endCall(sent, EndErrored)
		again := takeOne[Send](n)
		n.Assert(again.Upstream.Zone, qt.Equals, "z1")
		n.Assert(again.Inputs, qt.DeepEquals, sent.Inputs)
		n.endCall(again, EndAnswered)
		expectNo[FreeResults](n)
	})

	t.Run("a silent upstream in the zone is not probed", func(t *testing.T) {
		n := withFarZone(t)
		handle := uint64(0)
		far := n.sendUntilFarZone(&handle)
		n.on(ZonesEvacuated{Zones: []string{"z2"}})
		n.endCall(far, EndUnreachable)
		expectNo[Probe](n)
	})

	t.Run("with all zones evacuated a request is refused at once without being sent", func(t *testing.T) {
		n := withFarZone(t)
		n.on(ZonesEvacuated{Zones: []string{"z1", "z2"}})
		n.on(Arrived{Submission: plainRequest(1, chuteroute.Unrepeatable)})
		refusal := n.expectRefused(RefusedNotRun)
		n.Assert(refusal.RetryAfter > 0, qt.IsTrue)
		expectNo[Send](n)
	})

	t.Run("a request whose stages run is refused when the last zone is evacuated", func(t *testing.T) {
		// If it were kept, it would wait until its caller leaves.
		n := withFarZone(t)
		n.on(Arrived{Submission: streamRequest(1, chuteroute.Resumable)})
		n.on(ZonesEvacuated{Zones: []string{"z1", "z2"}})
		n.expectRefused(RefusedNotRun)
	})

	t.Run("a request with a stage whose pool is evacuated as a whole is refused at once", func(t *testing.T) {
		n := newNode(t)
		n.on(UpstreamsListed{Upstreams: []chutefleet.Upstream{
			{ID: "e", Name: "e", Pool: enginePool, Zone: "z1", Slots: 8, State: chutefleet.StateReady},
			{ID: "p", Name: "p", Pool: partPool, Zone: "z2", Slots: 8, State: chutefleet.StateReady},
		}})
		n.on(ZonesEvacuated{Zones: []string{"z2"}})
		n.on(Arrived{Submission: streamRequest(1, chuteroute.Resumable)})
		n.expectRefused(RefusedNotRun)
	})
}

// manyPartsRequest returns a request with more parts in its first stage than the whole pool runs at
// once.
func manyPartsRequest(handle uint64) Submission {
	s := streamRequest(handle, chuteroute.Resumable)
	s.Parts = []int{100, 1}
	s.Deadline = start.Add(time.Minute)
	s.Pipeline.Aim = time.Minute
	s.Pipeline.Stages = []chuteroute.Stage{{Pool: partPool, ResultBytes: 100}, {Pool: partPool, After: []int{0}, ResultBytes: 10}}

	return s
}

func TestEvacuationAtCollector(t *testing.T) {
	t.Run("a job from a node that does not know of the evacuation yet runs in another zone", func(t *testing.T) {
		n := withFarZone(t)
		n.on(ZonesEvacuated{Zones: []string{"z2"}})
		n.on(JobReceived{Token: 7, Job: chutebatch.Job{
			Request: "r", Pool: partPool, Shard: "z2", Zone: "z2", Parts: 3, Key: "k",
			TargetAt: n.now.Add(time.Second), Deadline: n.now.Add(2 * time.Second),
		}})
		for _, call := range takeAll[RunCall](n) {
			n.Assert(call.Upstream.Zone, qt.Equals, "z1")
			n.answerCall(call)
		}
		n.Assert(takeOne[ReturnResults](n).Results, qt.HasLen, 3)
	})
}

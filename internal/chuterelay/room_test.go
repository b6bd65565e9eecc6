package chuterelay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteroute"
)

// expectRoomAsked removes the questions for rooms and fails unless there are so many.
func (n *node) expectRoomAsked(count int) {
	n.Helper()
	n.Assert(take[AskRoom](n), qt.HasLen, count)
}

// tell has an upstream of the pool with parts say what room it has.
func (n *node) tell(upstream int, free int64) {
	n.on(RoomTold{Upstream: fmt.Sprint(partPool, upstream), Known: true, Free: free})
}

// crowdedNode returns a node whose two upstreams are asked for their rooms, with a request of
// some parts, each of which takes a quarter of a room.
func crowdedNode(t *testing.T, parts int) *node {
	t.Helper()
	n := newNode(t)
	n.keepsRooms = true
	s := stream(1, chuteroute.Resumable)
	s.Parts = []int{parts, 1}
	s.Pipeline.Stages = []chuteroute.Stage{
		{Pool: partPool, ResultBytes: 1 << 18}, {Pool: partPool, After: []int{0}, ResultBytes: 10},
	}
	n.on(Arrived{Submission: s})

	return n
}

func TestRoomAfterTakeover(t *testing.T) {
	// All nodes were killed. What their collectors had made fills the upstreams' rooms until
	// its time is over, and the new collector knows nothing of it. Its first calls would come
	// back without results, and after three of them the callers are refused.
	t.Run("upstreams get parts when they have told their room, as many as fit", func(t *testing.T) {
		n := crowdedNode(t, 6)
		n.expectRoomAsked(2)
		expectNo[RunCall](n)
		n.tell(0, 1<<18)
		n.Assert(only[RunCall](n).Call.Parts, qt.HasLen, 1)
		n.tell(1, 1<<20)
		n.Assert(only[RunCall](n).Call.Parts, qt.HasLen, 4)
	})

	t.Run("one that is full gets none, is asked again, and gets them when it has room", func(t *testing.T) {
		n := crowdedNode(t, 2)
		n.expectRoomAsked(2)
		n.tell(0, 0)
		n.tell(1, 0)
		expectNo[RunCall](n)
		n.pass(roomAgain)
		n.on(Ticked{})
		n.expectRoomAsked(2)
		n.tell(0, 1<<20)
		n.Assert(only[RunCall](n).Call.Parts, qt.HasLen, 2)
	})

	t.Run("one that does not answer is not waited for", func(t *testing.T) {
		n := crowdedNode(t, 2)
		n.pass(roomPatience)
		n.on(Ticked{})
		n.Assert(only[RunCall](n).Call.Parts, qt.HasLen, 2)
	})

	t.Run("one that can't tell gets parts at once", func(t *testing.T) {
		n := crowdedNode(t, 2)
		n.on(RoomTold{Upstream: partPool + "0"})
		n.Assert(only[RunCall](n).Call.Parts, qt.HasLen, 2)
	})

	t.Run("an upstream that this node calls all along is asked once", func(t *testing.T) {
		n := newNode(t)
		n.keepsRooms = true
		n.on(UpstreamsListed{Upstreams: slices.DeleteFunc(testUpstreams(), func(u chutefleet.Upstream) bool {
			return u.ID == partPool+"1"
		})})
		for handle := range uint64(20) {
			s := stream(handle+1, chuteroute.Resumable)
			s.Deadline = n.now.Add(6 * time.Second)
			n.on(Arrived{Submission: s})
			if handle == 0 {
				n.expectRoomAsked(1)
				n.tell(0, 1<<20)
			}
			expectNo[AskRoom](n)
			n.makeParts()
			n.makeParts()
			n.pass(roomLife / 10)
		}
	})
}

// roomSim is a pool of upstreams whose rooms hold what killed collectors had made.
type roomSim struct {
	*node

	// until is when the strangers' results run out, noRoom counts parts without room.
	until  time.Time
	noRoom int
	ends   []simmedCall
}

type simmedCall struct {
	at   time.Time
	call RunCall
}

// step lets time pass, answers questions for rooms if asked, and ends calls.
func (s *roomSim) step(d time.Duration, answers bool) {
	s.pass(d)
	for _, ask := range take[AskRoom](s.node) {
		free := int64(1 << 20)
		if s.now.Before(s.until) {
			free = 0
		}
		if answers {
			s.on(RoomTold{Upstream: ask.Upstream.ID, Known: true, Free: free})
		} else {
			s.on(RoomTold{Upstream: ask.Upstream.ID})
		}
	}
	for _, call := range take[RunCall](s.node) {
		s.ends = append(s.ends, simmedCall{at: s.now.Add(160 * time.Millisecond), call: call})
	}
	for len(s.ends) > 0 && !s.ends[0].at.After(s.now) {
		s.end(s.ends[0].call)
		s.ends = s.ends[1:]
	}
	s.on(Ticked{})
}

func (s *roomSim) end(call RunCall) {
	if !s.now.Before(s.until) {
		s.answer(call)

		return
	}
	ends := make([]chutebatch.PartEnd, len(call.Call.Parts))
	for i := range ends {
		ends[i].Failure = chutebatch.PartNoRoom
		s.noRoom++
	}
	s.on(CallEnded{ID: call.Call.ID, End: chutebatch.CallAnswered, Ends: ends, Took: 160 * time.Millisecond})
}

func TestRoomLoad(t *testing.T) {
	// The pattern: takeover of a full resource. For a second after all nodes were killed
	// the rooms are full, and requests come all the while.
	play := func(answers bool) int {
		s := &roomSim{node: newNode(t), until: start.Add(time.Second)}
		s.keepsRooms = true
		for handle := range uint64(40) {
			request := stream(handle+1, chuteroute.Resumable)
			request.Parts, request.Deadline = []int{3, 1}, s.now.Add(6*time.Second)
			request.Pipeline.Stages = []chuteroute.Stage{
				{Pool: partPool, ResultBytes: 1 << 18}, {Pool: partPool, After: []int{0}, ResultBytes: 10},
			}
			s.on(Arrived{Submission: request})
			s.step(50*time.Millisecond, answers)
		}

		return s.noRoom
	}
	qt.Assert(t, play(true), qt.Equals, 0)
	qt.Assert(t, play(false) > 0, qt.IsTrue)
}

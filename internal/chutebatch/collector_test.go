package chutebatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chuteroute"
)

var start = time.Unix(1000, 0)

const (
	callTime = 150 * time.Millisecond
	partTime = 16 * time.Millisecond
	fullCall = callTime + 8*partTime
)

// newCollector returns a collector for pool "p" whose upstreams take 8 parts a call and
// have the given result memory, in bytes.
func newCollector(memory int64) Collector {
	return New().WithPools(map[string]chuteroute.Pool{"p": {Name: "p", Batching: &chuteroute.Batching{
		Slots: 1, BatchSize: 8, CallTime: callTime, PartTime: partTime, Room: memory, ResultTTL: 4 * time.Second,
	}}})
}

var lane = Lane{Pool: "p"}

func newJob(id uint64, parts int) Job {
	return Job{
		ID: id, Request: fmt.Sprint("r", id), Pool: "p", Parts: parts, ResultBytes: 10,
		TargetAt: start.Add(2 * time.Second), Deadline: start.Add(6 * time.Second), QueuedAt: start,
	}
}

func testCandidates(n int) []Candidate {
	var all []Candidate
	for i := range n {
		all = append(all, Candidate{Upstream: fmt.Sprint("u", i), Zone: fmt.Sprint("z", i)})
	}

	return all
}

// endAnswered ends a call with a result for each part.
func endAnswered(c Collector, call Call, now time.Time) (Collector, JobChanges) {
	outcomes := make([]PartOutcome, len(call.Parts))
	for i, p := range call.Parts {
		outcomes[i].Ref = fmt.Sprintf("%s/%d.%d", call.Upstream, p.Job, p.Index)
	}

	return c.WithCallEnded(call.ID, CallAnswered, outcomes, "z", 100, now)
}

// collectorWithResults returns a collector with one upstream that stores a job's results.
func collectorWithResults(memory int64, j Job) Collector {
	col, calls := newCollector(memory).WithJob(j).FillSlots(lane, testCandidates(1), start)
	col, _ = endAnswered(col, calls[0], start)

	return col
}

// expectParts fails the test unless the calls hold parts of these jobs, in this order.
func expectParts(c *qt.C, calls []Call, want ...uint64) {
	c.Helper()
	var got []uint64
	for _, call := range calls {
		for _, p := range call.Parts {
			got = append(got, p.Job)
		}
	}
	c.Assert(got, qt.DeepEquals, want)
}

func TestFill(t *testing.T) {
	t.Run("parts of different requests share a call", func(t *testing.T) {
		c := qt.New(t)
		col := newCollector(1000)
		for id := range uint64(3) {
			col = col.WithJob(newJob(id+1, 3))
		}
		_, calls := col.FillSlots(lane, testCandidates(1), start)
		c.Assert(calls, qt.HasLen, 1)
		expectParts(c, calls, 1, 1, 1, 2, 2, 2, 3, 3)
	})

	t.Run("a busy upstream gets no second call", func(t *testing.T) {
		c := qt.New(t)
		col, _ := newCollector(1000).WithJob(newJob(1, 8)).FillSlots(lane, testCandidates(1), start)
		_, calls := col.WithJob(newJob(2, 1)).FillSlots(lane, testCandidates(1), start)
		c.Assert(calls, qt.HasLen, 0)
	})

	t.Run("urgent jobs go first, then those that are due sooner", func(t *testing.T) {
		c := qt.New(t)
		late, soon, urgent := newJob(1, 4), newJob(2, 4), newJob(3, 4)
		late.Priority, soon.Priority = 1, 1
		soon.TimeAfterStage = time.Second
		_, calls := newCollector(1000).WithJob(late).WithJob(soon).WithJob(urgent).FillSlots(lane, testCandidates(1), start)
		expectParts(c, calls, 3, 3, 3, 3, 2, 2, 2, 2)
	})

	t.Run("a late job runs after jobs that are not late", func(t *testing.T) {
		// In a burst the oldest jobs have missed their target time. If they ran first,
		// the next jobs would miss theirs too, and so on to the end of the burst.
		c := qt.New(t)
		missed := newJob(1, 8)
		missed.TargetAt = start
		_, calls := newCollector(1000).WithJob(missed).WithJob(newJob(2, 8)).FillSlots(lane, testCandidates(1), start)
		expectParts(c, calls, 2, 2, 2, 2, 2, 2, 2, 2)
	})

	t.Run("another shard's upstreams do not take the parts", func(t *testing.T) {
		c := qt.New(t)
		sharded := newJob(1, 1)
		sharded.Shard = "z1"
		col := newCollector(1000).WithJob(sharded)
		_, calls := col.FillSlots(lane, testCandidates(1), start)
		c.Assert(calls, qt.HasLen, 0)
		_, calls = col.FillSlots(Lane{Pool: "p", Shard: "z1"}, testCandidates(1), start)
		c.Assert(calls, qt.HasLen, 1)
	})

	t.Run("a job with large results waits for an upstream in its zone, for a limited time", func(t *testing.T) {
		c := qt.New(t)
		heavy := newJob(1, 1)
		heavy.ResultBytes = largeDataBytes
		heavy.Zone = "elsewhere"
		col := newCollector(10 * largeDataBytes).WithJob(heavy)
		_, calls := col.FillSlots(lane, testCandidates(1), start)
		c.Assert(calls, qt.HasLen, 0)
		_, calls = col.FillSlots(lane, testCandidates(1), start.Add(fullCall))
		c.Assert(calls, qt.HasLen, 1)
	})

	t.Run("a slow upstream gets parts only if they can end in time there", func(t *testing.T) {
		c := qt.New(t)
		slow := []Candidate{{Upstream: "u", Slowness: 4}}
		waited := start.Add(fullCall)
		_, calls := newCollector(1000).WithJob(newJob(1, 1)).FillSlots(lane, slow, waited)
		c.Assert(calls, qt.HasLen, 1)
		urgentTarget := newJob(1, 1)
		urgentTarget.TargetAt = waited.Add(time.Second)
		_, calls = newCollector(1000).WithJob(urgentTarget).FillSlots(lane, slow, waited)
		c.Assert(calls, qt.HasLen, 0)
	})
}

func TestRoom(t *testing.T) {
	t.Run("results that are not freed take memory until they expire", func(t *testing.T) {
		c := qt.New(t)
		col, calls := newCollector(50).WithJob(newJob(1, 5)).FillSlots(lane, testCandidates(1), start)
		col, ended := endAnswered(col, calls[0], start)
		c.Assert(ended.Completed, qt.DeepEquals, []uint64{1})
		col = col.WithJob(newJob(2, 1))
		_, calls = col.FillSlots(lane, testCandidates(1), start)
		c.Assert(calls, qt.HasLen, 0)
		_, calls = col.FillSlots(lane, testCandidates(1), start.Add(4*time.Second))
		c.Assert(calls, qt.HasLen, 1)
	})

	t.Run("freed results release memory at once", func(t *testing.T) {
		c := qt.New(t)
		col, calls := newCollector(50).WithJob(newJob(1, 5)).FillSlots(lane, testCandidates(1), start)
		col, _ = endAnswered(col, calls[0], start)
		col, frees := col.WithoutJob(1)
		c.Assert(frees, qt.HasLen, 1)
		c.Assert(frees[0].Refs, qt.HasLen, 5)
		_, calls = col.WithJob(newJob(2, 1)).FillSlots(lane, testCandidates(1), start)
		c.Assert(calls, qt.HasLen, 1)
	})

	t.Run("a small call is delayed while memory will be released soon", func(t *testing.T) {
		// Memory for one part is left while eight parts wait. A call of one part takes
		// the slot for most of the time of a full call, and memory is released meanwhile.
		c := qt.New(t)
		col := collectorWithResults(80, newJob(1, 7))
		col = col.WithJob(newJob(2, 8))
		_, calls := col.FillSlots(lane, testCandidates(1), start)
		c.Assert(calls, qt.HasLen, 0)
		freed, _ := col.WithoutJob(1)
		_, calls = freed.FillSlots(lane, testCandidates(1), start)
		c.Assert(calls, qt.HasLen, 1)
		c.Assert(calls[0].Parts, qt.HasLen, 8)
	})

	t.Run("a small call is not delayed for long if no memory is released", func(t *testing.T) {
		c := qt.New(t)
		col := collectorWithResults(80, newJob(1, 7))
		col, calls := col.WithJob(newJob(2, 8)).FillSlots(lane, testCandidates(1), start)
		c.Assert(calls, qt.HasLen, 0)
		_, calls = col.FillSlots(lane, testCandidates(1), start.Add(callTime-1))
		c.Assert(calls, qt.HasLen, 0)
		_, calls = col.FillSlots(lane, testCandidates(1), start.Add(callTime))
		c.Assert(calls, qt.HasLen, 1)
		c.Assert(calls[0].Parts, qt.HasLen, 1)
	})

	t.Run("a call is not delayed if few parts wait", func(t *testing.T) {
		c := qt.New(t)
		col := collectorWithResults(80, newJob(1, 7))
		_, calls := col.WithJob(newJob(2, 2)).FillSlots(lane, testCandidates(1), start)
		c.Assert(calls, qt.HasLen, 1)
	})

	t.Run("a refusal for lack of memory updates the estimate of foreign usage", func(t *testing.T) {
		// A collector was killed, and no collector counts its results at the upstream.
		// The next collector's part is refused; sending it again at once would cost a
		// call each time.
		c := qt.New(t)
		col, calls := newCollector(50).WithJob(newJob(1, 1)).FillSlots(lane, testCandidates(1), start)
		col, ended := col.WithCallEnded(calls[0].ID, CallAnswered, []PartOutcome{{Failure: PartNoMemory}}, "z", 100, start)
		c.Assert(ended.Failed, qt.HasLen, 0)
		c.Assert(col.WaitingParts(lane), qt.Equals, 1)
		_, calls = col.FillSlots(lane, testCandidates(1), start)
		c.Assert(calls, qt.HasLen, 0)
		_, calls = col.FillSlots(lane, testCandidates(1), start.Add(2*time.Second))
		c.Assert(calls, qt.HasLen, 1)
	})

	t.Run("one refused part raises the estimate of foreign usage by its size only", func(t *testing.T) {
		// Results are somewhat larger than announced, and the upstream has no memory for
		// the last part of a call. Results freed while the call ran have released memory.
		c := qt.New(t)
		col, calls := newCollector(80).WithJob(newJob(1, 4)).FillSlots(lane, testCandidates(1), start)
		col, _ = endAnswered(col, calls[0], start)
		col, calls = col.WithJob(newJob(2, 4)).FillSlots(lane, testCandidates(1), start)
		col, _ = col.WithoutJob(1)
		ends := []PartOutcome{{Ref: "a"}, {Ref: "b"}, {Ref: "c"}, {Failure: PartNoMemory}}
		col, _ = col.WithCallEnded(calls[0].ID, CallAnswered, ends, "z", 100, start)
		c.Assert(col.freeBytes("p", "u0", start), qt.Equals, int64(80-30-10))
	})

	t.Run("a part waits for memory until its deadline, with an empty retry budget", func(t *testing.T) {
		// All nodes were killed, and their results fill the memory for seconds. The
		// callers have time left, and the new nodes have no retry budget yet.
		c := qt.New(t)
		col := newCollector(50).WithJob(newJob(1, 1))
		now, refusals := start, 0
		for ; now.Before(start.Add(3 * time.Second)); now = now.Add(20 * time.Millisecond) {
			var calls []Call
			col, calls = col.FillSlots(lane, testCandidates(1), now)
			for _, call := range calls {
				refusals++
				var ended JobChanges
				col, ended = col.WithCallEnded(call.ID, CallAnswered, []PartOutcome{{Failure: PartNoMemory}}, "z", 0, now)
				c.Assert(ended.Failed, qt.HasLen, 0)
			}
		}
		c.Assert(refusals < 10, qt.IsTrue, qt.Commentf("%d refusals", refusals))
		_, calls := col.FillSlots(lane, testCandidates(1), start.Add(4*time.Second))
		c.Assert(calls, qt.HasLen, 1)
	})

	t.Run("a refusal does not lower the estimate of foreign usage of earlier ones", func(t *testing.T) {
		// After a kill the upstream has no memory for seconds. Each refusal proves less
		// foreign usage than the one before; an estimate from the last one alone would
		// show free memory.
		c := qt.New(t)
		col := newCollector(50)
		now := start
		refusals := 0
		for id := range uint64(200) {
			now = now.Add(10 * time.Millisecond)
			var calls []Call
			col, calls = col.WithJob(newJob(id+1, 1)).FillSlots(lane, testCandidates(1), now)
			for _, call := range calls {
				refusals++
				ends := make([]PartOutcome, len(call.Parts))
				for i := range ends {
					ends[i].Failure = PartNoMemory
				}
				col, _ = col.WithCallEnded(call.ID, CallAnswered, ends, "z", 100, now)
			}
		}
		c.Assert(refusals < 10, qt.IsTrue, qt.Commentf("%d refusals", refusals))
	})

	t.Run("a result whose job was removed during the call is freed", func(t *testing.T) {
		c := qt.New(t)
		col, calls := newCollector(50).WithJob(newJob(1, 2)).FillSlots(lane, testCandidates(1), start)
		col, _ = col.WithoutJob(1)
		col, ended := endAnswered(col, calls[0], start)
		c.Assert(ended.ToFree, qt.HasLen, 1)
		c.Assert(col.freeBytes("p", "u0", start), qt.Equals, int64(50))
	})
}

func TestFailedCalls(t *testing.T) {
	t.Run("parts of a lost call are queued again, up to the limit", func(t *testing.T) {
		c := qt.New(t)
		col, calls := newCollector(1000).WithJob(newJob(1, 2)).WithJob(newJob(2, 2)).FillSlots(lane, testCandidates(1), start)
		_, ended := col.WithCallEnded(calls[0].ID, CallLost, nil, "", 2, start)
		c.Assert(ended.Requeued, qt.Equals, 2)
		c.Assert(ended.Failed, qt.HasLen, 1)
		c.Assert(ended.Failed[0].Job.ID, qt.Equals, uint64(2))
	})

	t.Run("an upstream that refused a call gets no call during refusedPause", func(t *testing.T) {
		// Another collector uses its slot: while nodes have different lists of nodes,
		// two collectors may be active for the same upstream.
		c := qt.New(t)
		col, calls := newCollector(1000).WithJob(newJob(1, 1)).FillSlots(lane, testCandidates(1), start)
		col, _ = col.WithCallEnded(calls[0].ID, CallRefused, nil, "", 10, start)
		_, calls = col.FillSlots(lane, testCandidates(1), start)
		c.Assert(calls, qt.HasLen, 0)
		_, calls = col.FillSlots(lane, testCandidates(1), start.Add(refusedPause))
		c.Assert(calls, qt.HasLen, 1)
	})

	t.Run("a missing input fails the job and frees its results", func(t *testing.T) {
		c := qt.New(t)
		col, calls := newCollector(1000).WithJob(newJob(1, 2)).FillSlots(lane, testCandidates(1), start)
		ends := []PartOutcome{{Ref: "a"}, {Failure: PartInputGone}}
		col, ended := col.WithCallEnded(calls[0].ID, CallAnswered, ends, "z", 10, start)
		c.Assert(ended.Failed, qt.HasLen, 1)
		c.Assert(ended.Failed[0].Reason, qt.Equals, PartInputGone)
		c.Assert(ended.ToFree, qt.HasLen, 1)
		c.Assert(col.JobCount(), qt.Equals, 0)
	})

	t.Run("a part that fails repeatedly fails its job", func(t *testing.T) {
		c := qt.New(t)
		col := newCollector(1000).WithJob(newJob(1, 1))
		failed := 0
		for now := start; failed == 0 && now.Before(start.Add(time.Second)); now = now.Add(refusedPause) {
			var calls []Call
			col, calls = col.FillSlots(lane, testCandidates(1), now)
			var ended JobChanges
			col, ended = col.WithCallEnded(calls[0].ID, CallLost, nil, "", 10, now)
			failed = len(ended.Failed)
		}
		c.Assert(failed, qt.Equals, 1)
	})
}

func TestAdmission(t *testing.T) {
	t.Run("a job that the queue makes late is refused on arrival", func(t *testing.T) {
		// A burst of 2.6 times the usual load is ahead of the job. If it were admitted,
		// it would be refused only at its deadline.
		c := qt.New(t)
		col := newCollector(0)
		for id := range uint64(40) {
			col = col.WithJob(newJob(id+1, 8))
		}
		c.Assert(admits(col, newJob(99, 1), testCandidates(1)), qt.IsFalse)
		c.Assert(admits(col, newJob(99, 1), testCandidates(40)), qt.IsTrue)
	})

	t.Run("an urgent job is not refused for less urgent ones in the queue", func(t *testing.T) {
		c := qt.New(t)
		col := newCollector(0)
		for id := range uint64(40) {
			less := newJob(id+1, 8)
			less.Priority = 2
			col = col.WithJob(less)
		}
		c.Assert(admits(col, newJob(99, 1), testCandidates(1)), qt.IsTrue)
	})

	t.Run("a late job is not refused if the queue is empty", func(t *testing.T) {
		c := qt.New(t)
		late := newJob(1, 1)
		late.TargetAt = start
		c.Assert(admits(newCollector(0), late, testCandidates(1)), qt.IsTrue)
	})

	t.Run("a late job that starves behind others fails before its deadline", func(t *testing.T) {
		// In a long burst every late job waits behind jobs that are not late. It fails
		// early enough for its caller to retry.
		c := qt.New(t)
		late := newJob(1, 1)
		late.TargetAt = start
		// Its deadline is in 3 s: after 1 s it has waited for half of the time left.
		late.Deadline = start.Add(3 * time.Second)
		now := start.Add(1010 * time.Millisecond)
		_, expired := newCollector(0).WithJob(late).WithJob(newJob(2, 1)).Expire(now.Add(-20 * time.Millisecond))
		c.Assert(expired.Failed, qt.HasLen, 0)
		_, expired = newCollector(0).WithJob(late).Expire(now)
		c.Assert(expired.Failed, qt.HasLen, 0)
		_, expired = newCollector(0).WithJob(late).WithJob(newJob(2, 1)).Expire(now)
		c.Assert(expired.Failed, qt.HasLen, 1)
		c.Assert(expired.Failed[0].Job.ID, qt.Equals, uint64(1))
		c.Assert(expired.Failed[0].Reason, qt.Equals, PartOverloaded)
	})

	t.Run("a job that can't finish before its deadline fails", func(t *testing.T) {
		c := qt.New(t)
		col := newCollector(0).WithJob(newJob(1, 1))
		_, expired := col.Expire(start.Add(5 * time.Second))
		c.Assert(expired.Failed, qt.HasLen, 0)
		col, expired = col.Expire(start.Add(6*time.Second - callTime))
		c.Assert(expired.Failed, qt.HasLen, 1)
		c.Assert(col.WaitingParts(lane), qt.Equals, 0)
	})
}

// admits reports whether a collector admits a job with the wait that it estimates itself.
func admits(c Collector, j Job, candidates []Candidate) bool {
	return c.Admits(j, c.EstimateWait(j, candidates, start), start)
}

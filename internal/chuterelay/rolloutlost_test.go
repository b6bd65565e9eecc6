package chuterelay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutecanary"
	"azurechute.example/azurechute/internal/chuteroute"
)

// eraOrder is testOrder as given in the era before the store came back from a copy.
var eraOrder = chutecanary.Order{
	Pool: testOrder.Pool, Version: testOrder.Version, Duration: testOrder.Duration, Revision: testOrder.Revision, Era: 1,
}

// storedRecord returns a record of eraOrder as the store has it.
func storedRecord(epoch uint64, phase chutecanary.Phase, era, rowVersion uint64) chutecanary.Record {
	return chutecanary.Record{
		Pool: eraOrder.Pool, Version: eraOrder.Version, Order: eraOrder.Revision, OrderEra: 1, DurationMs: eraOrder.Duration.Milliseconds(),
		Epoch: epoch, Phase: phase, Shares: map[string]float64{"": 0.5}, TrialUpstreams: 3, OldVersions: []string{"v1"},
		Era: era, RowVersion: rowVersion,
	}
}

// newRolledBackNode returns a node that knows that a version was condemned.
func newRolledBackNode(t testing.TB) *node {
	n := newRolloutNode(t)
	n.on(RolloutsOrdered{Orders: []chutecanary.Order{eraOrder}})
	n.on(RolloutsRecorded{Records: []chutecanary.Record{storedRecord(5, chutecanary.PhaseRolledBack, 1, 40)}})
	n.on(RolloutTicked{ConfirmedAt: n.now})
	takeAll[WriteRollout](n)

	return n
}

// tick lets some time pass, and returns the records that the node writes.
func (n *node) tick(span time.Duration) []chutecanary.Record {
	var written []chutecanary.Record
	for end := n.now.Add(span); n.now.Before(end); n.pass(rolloutTickInterval) {
		n.on(RolloutTicked{ConfirmedAt: n.now})
		for _, write := range takeAll[WriteRollout](n) {
			written = append(written, write.Record)
		}
	}

	return written
}

// Guards against calls to a condemned version because the store has lost the record that condemns it.
func TestRecordLostByStore(t *testing.T) {
	for name, stored := range map[string]chutecanary.Record{
		"an earlier record": storedRecord(3, chutecanary.PhaseTrial, 2, 30),
		"no record":         {Pool: eraOrder.Pool, Era: 2},
	} {
		t.Run("the copy has "+name, func(t *testing.T) {
			n := newRolledBackNode(t)
			n.on(RolloutsRecorded{Records: []chutecanary.Record{stored}})
			written := n.tick(lostRecordDelay)
			n.Assert(len(written) > 0, qt.IsTrue)
			n.Assert(written[0].Phase, qt.Equals, chutecanary.PhaseRolledBack)
			n.Assert(written[0].Epoch, qt.Equals, uint64(6))
			n.Assert(written[0].RowVersion, qt.Equals, stored.RowVersion)
			calls, _ := n.countNew(40, chuteroute.Repeatable)
			n.Assert(calls, qt.Equals, 0)
			rewritten := written[0]
			rewritten.Era, rewritten.RowVersion = 2, 31
			n.on(RolloutsRecorded{Records: []chutecanary.Record{rewritten}})
			n.Assert(n.tick(2*lostRecordDelay), qt.HasLen, 0)
		})
	}

	t.Run("a record that is written by a node that did not know it is replaced", func(t *testing.T) {
		n := newRolledBackNode(t)
		n.on(RolloutsRecorded{Records: []chutecanary.Record{storedRecord(5, chutecanary.PhaseMoving, 2, 32)}})
		written := n.tick(lostRecordDelay)
		n.Assert(len(written) > 0, qt.IsTrue)
		n.Assert(written[0].Phase, qt.Equals, chutecanary.PhaseRolledBack)
		n.Assert(written[0].RowVersion, qt.Equals, uint64(32))
	})

	t.Run("a record that the copy has is not written again", func(t *testing.T) {
		n := newRolledBackNode(t)
		n.on(RolloutsRecorded{Records: []chutecanary.Record{storedRecord(5, chutecanary.PhaseRolledBack, 2, 40)}})
		n.Assert(n.tick(2*lostRecordDelay), qt.HasLen, 0)
	})
}

// Guards against a rollout that begins again because the operator has written its order again after the
// store came back from a copy.
func TestOrderWrittenAgain(t *testing.T) {
	again := eraOrder
	again.Era, again.Revision = 2, 4

	t.Run("a node that has started since takes it for the order of the record", func(t *testing.T) {
		n := newRolloutNode(t)
		n.on(RolloutsRecorded{Records: []chutecanary.Record{storedRecord(5, chutecanary.PhaseRolledBack, 2, 40)}})
		n.on(RolloutsOrdered{Orders: []chutecanary.Order{again}})
		n.Assert(n.tick(lostRecordDelay), qt.HasLen, 0)
	})

	t.Run("an order for another version is a new one", func(t *testing.T) {
		n := newRolledBackNode(t)
		other := again
		other.Version = "v1"
		n.on(RolloutsOrdered{Orders: []chutecanary.Order{other}})
		written := n.tick(time.Second)
		n.Assert(len(written) > 0, qt.IsTrue)
		n.Assert(written[0].Order, qt.Equals, uint64(4))
		n.Assert(written[0].OrderEra, qt.Equals, uint64(2))
	})

	t.Run("guards against a decision by a record that another node knows to be outdated", func(t *testing.T) {
		n := newRolloutNode(t)
		n.on(RolloutsOrdered{Orders: []chutecanary.Order{eraOrder}})
		n.on(RolloutsRecorded{Records: []chutecanary.Record{storedRecord(3, chutecanary.PhaseTrial, 2, 30)}})
		n.on(RolloutTicked{ConfirmedAt: n.now})
		bad := chutecanary.Counts{Sent: 400, Failures: 400}
		report := chutecanary.Report{Node: "other", Pool: plainPool, Order: eraOrder.Revision, Epoch: 5, Tally: chutecanary.Tally{"p": {New: bad}}}
		n.on(RolloutReported{Report: report})
		n.Assert(n.tick(time.Second), qt.HasLen, 0)
	})
}

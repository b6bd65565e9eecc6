package chuteclaim

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/internal/chutetable"
)

var answered = chuterequest.Outcome{Kind: chuterequest.OutcomeAnswered}

func take(claimer *Claimer, owner string) Taking {
	return claimer.Take(context.Background(), testKey, owner, owner+":1")
}

// expectSealedBy lets the fake clock pass the background's wait and expects no row to be left.
func expectSealedBy(c *quicktest.C, claimer *Claimer, clock *clockwork.FakeClock) {
	c.Helper()
	c.Assert(clock.BlockUntilContext(bounded(c), 1), quicktest.IsNil)
	clock.Advance(2 * DefaultLongestRetry)
	c.Assert(claimer.Close(bounded(c)), quicktest.Equals, 0)
}

func TestTake(t *testing.T) {
	tests := []struct {
		name      string
		faults    []fault
		verdict   Verdict
		unclaimed bool
		unsealed  bool
	}{
		{"no fault", nil, VerdictTaken, false, false},
		// The insert took effect, its answer was lost; the row has our token.
		{"lost answer is read back", []fault{dropAnswer}, VerdictTaken, false, false},
		{"crossed answer is read back", []fault{crossed}, VerdictTaken, false, false},
		// The insert may be under way; the second one has the same token, so either makes it ours.
		{"lost insert is sent again", []fault{lost}, VerdictTaken, false, false},
		{"late insert is sent again", []fault{late}, VerdictTaken, false, false},
		{"refused insert is certain", []fault{refused}, VerdictNotTaken, false, false},
		// The first insert may be under way though the second certainly is not.
		{"refused after a lost one", []fault{lost, noFault, refused}, VerdictNotTaken, true, true},
		{"no read", []fault{lost, lost, lost}, VerdictNotTaken, false, true},
		{
			"all inserts late, then sealed",
			[]fault{late, noFault, late, noFault, late, noFault},
			VerdictNotTaken, true, false,
		},
		{
			"all inserts and the seal lost",
			[]fault{late, noFault, late, noFault, late, noFault, lost},
			VerdictNotTaken, true, true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			table := newFakeTable(test.faults...)
			table.outage = noFault
			claimer := newClaimer(c, table, newFakeClock(), nil)
			if test.unsealed {
				c.Assert(claimer.Close(bounded(c)), quicktest.Equals, 0) // no background meanwhile
			}
			got := take(claimer, "a")
			expectVerdict(c, got, test.verdict)
			c.Assert(got.Unclaimed, quicktest.Equals, test.unclaimed)
			c.Assert(claimer.Unsealed() > 0, quicktest.Equals, test.unsealed)
			for len(table.underWay) > 0 {
				table.arrive(0)
			}
			switch {
			case test.verdict == VerdictTaken:
				expectRow(c, table, got.Claim.Token, StateClaimed)
			case len(table.rows) > 0 && !test.unsealed:
				expectRow(c, table, "", StateGivenUp)
			}
		})
	}
}

// The caller hears NotRun, because neither the insert nor the read was answered.
// Only then does the insert take effect: the row says Claimed by a token that is
// dead. The background must mark it given up, else every later attempt with the
// same RequestID would end Unknown until the row expires.
func TestLateInsertAfterNotTaken(t *testing.T) {
	c := quicktest.New(t)
	clock := newFakeClock()
	table := newFakeTable(late)
	table.set(lost)
	claimer := newClaimer(c, table, clock, nil)
	expectVerdict(c, take(claimer, "a"), VerdictNotTaken)
	c.Assert(clock.BlockUntilContext(bounded(c), 1), quicktest.IsNil)
	table.arrive(0)
	expectRow(c, table, "", StateClaimed)
	table.set(noFault)
	expectSealedBy(c, claimer, clock)
	expectRow(c, table, "", StateGivenUp)
	expectVerdict(c, take(newClaimer(c, table, clock, nil), "b"), VerdictTaken)
}

// The caller hears NotRun and publishes again at once, before the row of the dead
// claim could be marked. The same process knows its own dead token, another asks
// the owner; so neither needs to answer Unknown.
func TestDeadClaimIsTakenOver(t *testing.T) {
	for _, name := range []string{"same process", "owner asked"} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			clock := newFakeClock()
			table := newFakeTable(dropAnswer)
			table.set(lost)
			first := newClaimer(c, table, clock, nil)
			expectVerdict(c, take(first, "a"), VerdictNotTaken)
			c.Assert(clock.BlockUntilContext(bounded(c), 1), quicktest.IsNil)
			table.set(noFault)
			second := first
			if name == "owner asked" {
				second = newClaimer(c, table, clock, func(_ context.Context, record Record) (Word, error) {
					c.Check(record.OwnerAddress, quicktest.Equals, "a:1")
					return first.Word(record.Token), nil
				})
			}
			got := take(second, "b")
			expectVerdict(c, got, VerdictTaken)
			expectSealedBy(c, first, clock)
			expectRow(c, table, got.Claim.Token, StateClaimed)
		})
	}
}

// A node dies after it claimed; nobody can tell whether it dispatched. However
// long others wait, they must not run the request, nor call it not run.
func TestClaimOfDeadOwnerStays(t *testing.T) {
	c := quicktest.New(t)
	clock := newFakeClock()
	table := newFakeTable()
	expectVerdict(c, take(newClaimer(c, table, clock, nil), "dead"), VerdictTaken)
	other := newClaimer(c, table, clock, func(context.Context, Record) (Word, error) { return "", errLost })
	clock.Advance(DefaultRetention * 2)
	got := take(other, "b")
	expectVerdict(c, got, VerdictHeldByOther)
	c.Assert(got.Holder.Owner, quicktest.Equals, "dead")
	table.rows[RowKey(testKey)] = chutetable.Row{Key: RowKey(testKey), Value: json.RawMessage(`{}`), Version: 9}
	expectVerdict(c, take(other, "b"), VerdictHeldByOther)
}

// The answer to the outcome's write is lost, or comes from another's write, or the
// write is late and overtaken. The row must hold the outcome once, with the exact
// bytes of the result, and a waiter reads it.
func TestFinish(t *testing.T) {
	result := json.RawMessage(`{"Text": "<2 & ő>"}`)
	for _, faults := range [][]fault{nil, {dropAnswer}, {lost}, {late}, {refused}, {crossed}, {lost, late, dropAnswer}} {
		t.Run("", func(t *testing.T) {
			c := quicktest.New(t)
			table := newFakeTable()
			claimer := newClaimer(c, table, clockwork.NewRealClock(), nil)
			claim := take(claimer, "a").Claim
			table.faults = faults
			c.Assert(claimer.Finish(bounded(c), claim, answered, result), quicktest.IsNil)
			c.Assert(claimer.Finish(bounded(c), claim, answered, result), quicktest.IsNil)
			for len(table.underWay) > 0 {
				table.arrive(0)
			}
			c.Assert(table.version, quicktest.Equals, uint64(2))
			record, known, err := claimer.Status(c.Context(), testKey)
			c.Assert(err, quicktest.IsNil)
			c.Assert(known && record.Complete(), quicktest.IsTrue)
			c.Assert(string(record.Result), quicktest.Equals, string(result))
			c.Assert(record.Outcome, quicktest.DeepEquals, answered)
			other := chuterequest.Outcome{Kind: chuterequest.OutcomeFailed}
			c.Assert(claimer.Finish(bounded(c), claim, other, nil), quicktest.ErrorIs, ErrFinishedOtherwise)
			expectVerdict(c, take(claimer, "b"), VerdictHeldByOther)
		})
	}
}

func TestFinishKeepsDigestOfLargeResult(t *testing.T) {
	c := quicktest.New(t)
	table := newFakeTable()
	claimer := newClaimer(c, table, newFakeClock(), nil)
	result := json.RawMessage(`"` + strings.Repeat("x", 100) + `"`)
	c.Assert(claimer.Finish(bounded(c), take(claimer, "a").Claim, answered, result), quicktest.IsNil)
	record, _, err := claimer.Status(c.Context(), testKey)
	c.Assert(err, quicktest.IsNil)
	c.Assert(record.Complete(), quicktest.IsFalse)
	c.Assert(record.ResultLength, quicktest.Equals, 102)
	c.Assert(record.ResultDigest, quicktest.HasLen, 64)
}

// Nothing could be dispatched, so the caller is to hear NotRun, while the table is
// down. From then on the claim must be dead here: a dispatch that comes late would
// run what the caller publishes again, and an outcome must not be written either.
func TestGiveUpDuringOutage(t *testing.T) {
	c := quicktest.New(t)
	clock := newFakeClock()
	table := newFakeTable()
	claimer := newClaimer(c, table, clock, nil)
	claim := take(claimer, "a").Claim
	c.Assert(claimer.Word(claim.Token), quicktest.Equals, WordHeld)
	table.set(lost)
	c.Assert(claimer.GiveUp(c.Context(), claim), quicktest.IsNil)
	c.Assert(claimer.BeginDispatch(claim), quicktest.ErrorIs, ErrNotHeld)
	c.Assert(claimer.Word(claim.Token), quicktest.Equals, WordGivenUp)
	c.Assert(clock.BlockUntilContext(bounded(c), 1), quicktest.IsNil)
	table.set(noFault)
	c.Assert(claimer.Finish(bounded(c), claim, answered, nil), quicktest.ErrorIs, ErrNotHeld)
	expectSealedBy(c, claimer, clock)
	expectRow(c, table, claim.Token, StateGivenUp)
	c.Assert(claimer.Finish(bounded(c), claim, answered, nil), quicktest.ErrorIs, ErrNotHeld)
}

// A claim of which something was handed over may have run, and can't be given up,
// unless the upstream provably took nothing.
func TestGiveUpAfterDispatch(t *testing.T) {
	c := quicktest.New(t)
	table := newFakeTable()
	claimer := newClaimer(c, table, newFakeClock(), nil)
	claim := take(claimer, "a").Claim
	c.Assert(claimer.BeginDispatch(claim), quicktest.IsNil)
	c.Assert(claimer.GiveUp(c.Context(), claim), quicktest.ErrorIs, ErrDispatched)
	claimer.UndoDispatch(claim)
	c.Assert(claimer.GiveUp(c.Context(), claim), quicktest.IsNil)
	c.Assert(claimer.GiveUp(c.Context(), claim), quicktest.ErrorIs, ErrNotHeld)
	expectRow(c, table, claim.Token, StateGivenUp)
	c.Assert(claimer.Unsealed(), quicktest.Equals, 0)
	expectVerdict(c, take(claimer, "b"), VerdictTaken)
}

// The process is paused between its claim and the dispatch. When it wakes, the row
// may have expired and another may have claimed the request, so it must not send.
func TestDispatchAfterPause(t *testing.T) {
	c := quicktest.New(t)
	clock := newFakeClock()
	claimer := newClaimer(c, newFakeTable(), clock, nil)
	claim := take(claimer, "a").Claim
	clock.Advance(DefaultUsable)
	c.Assert(claimer.BeginDispatch(claim), quicktest.ErrorIs, ErrTooLate)
	c.Assert(claimer.GiveUp(c.Context(), claim), quicktest.IsNil)
}

// The table is out for so long that the dead claims would fill the memory: beyond
// the bounds rows are left as they are, and counted as no longer waiting.
func TestUnsealedIsBounded(t *testing.T) {
	c := quicktest.New(t)
	clock := newFakeClock()
	table := newFakeTable()
	table.set(lost)
	claimer := newClaimer(c, table, clock, nil)
	for n := range 3 {
		expectVerdict(c, take(claimer, "a"), VerdictNotTaken)
		if n == 0 {
			c.Assert(clock.BlockUntilContext(bounded(c), 1), quicktest.IsNil)
		}
	}
	c.Assert(claimer.Unsealed(), quicktest.Equals, 1)
	clock.Advance(DefaultSealFor)
	c.Assert(claimer.Close(bounded(c)), quicktest.Equals, 0)
}

func TestRowKeysDiffer(t *testing.T) {
	c := quicktest.New(t)
	one := RowKey(chuterequest.Key{Workspace: "a", RequestID: "b/c"})
	two := RowKey(chuterequest.Key{Workspace: "a/b", RequestID: "c"})
	c.Assert(one, quicktest.Not(quicktest.Equals), two)
}

func TestExpired(t *testing.T) {
	c := quicktest.New(t)
	expires := testTime.Add(DefaultRetention)
	rows := []chutetable.Row{{Key: "claim/a/b", Value: claimedBy("x"), Version: 3}, {Key: "claim/odd", Value: json.RawMessage(`{}`)}}
	c.Assert(Expired(rows, expires), quicktest.HasLen, 0)
	c.Assert(Expired(rows, expires.Add(1)), quicktest.DeepEquals, rows[:1])
}

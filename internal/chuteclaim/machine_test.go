package chuteclaim

import (
	"context"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// player is one attempt to claim in a random trace; all claim the same request.
type player struct {
	claim   Claim
	machine Machine
	step    Step
	// tookPart: the last verdict, empty while the machine runs.
	verdict StepKind
	// sealing: the machine goes on in the background after its verdict.
	sealing    bool
	dispatched bool
	// ranBefore: another had dispatched the request before this attempt began.
	ranBefore bool
}

func (p *player) holds() bool { return p.verdict == StepTaken }

func (p *player) working() bool { return p.verdict == "" || p.sealing }

// trace plays attempts against one table.
type trace struct {
	t       *rapid.T
	table   *fakeTable
	claimer *Claimer
	players []*player
}

// word is the owner's: it is true, but not always to be had.
func (tr *trace) word(_ context.Context, record Record) (Word, error) {
	for _, p := range tr.players {
		if p.claim.Token == record.Token && p.verdict == StepNotTaken && rapid.Bool().Draw(tr.t, "owner answers") {
			return WordGivenUp, nil
		}
	}
	return WordUnknown, nil
}

func (tr *trace) start() *player {
	p := &player{claim: Claim{Key: testKey, Token: fmt.Sprintf("token-%d", len(tr.players)), TakenAt: testTime}}
	for _, other := range tr.players {
		p.ranBefore = p.ranBefore || other.dispatched
	}
	p.machine, p.step = NewMachine(p.claim.Token, Limits{Inserts: 2, Reads: 2})
	tr.players = append(tr.players, p)
	return p
}

// advance executes one step of a working player under the fault.
func (tr *trace) advance(p *player, f fault) {
	tr.table.faults = []fault{f}
	event, _ := tr.claimer.execute(context.Background(), p.claim, p.step, StepNameSeal)
	tr.table.faults = nil
	p.machine, p.step = p.machine.Next(event)
	switch p.step.Kind {
	case StepSealed:
		p.sealing = false
	case StepTaken, StepHeld, StepNotTaken:
		tr.end(p)
	}
}

func (tr *trace) end(p *player) {
	if p.verdict != "" {
		tr.t.Fatalf("%s was told %s and then %s", p.claim.Token, p.verdict, p.step.Kind)
	}
	p.verdict = p.step.Kind
	p.claim.Version = p.step.Base
	if p.verdict == StepNotTaken && p.step.Unclaimed && p.ranBefore {
		tr.t.Fatalf("%s was told Unclaimed of a request that had run", p.claim.Token)
	}
	if p.verdict == StepNotTaken && p.step.Unsealed {
		p.sealing = true
		p.machine, p.step = p.machine.Seal()
	}
}

// check demands that one attempt at most holds the claim, dispatched or not yet.
func (tr *trace) check() {
	holders := 0
	for _, p := range tr.players {
		if p.holds() {
			holders++
		}
	}
	if holders > 1 {
		tr.t.Fatalf("%d attempts hold the claim", holders)
	}
}

// random does one random thing.
func (tr *trace) random() {
	p := rapid.SampledFrom(tr.players).Draw(tr.t, "player")
	act := rapid.IntRange(0, 9).Draw(tr.t, "act")
	switch {
	case act == 0 && len(tr.players) < 5:
		tr.start()
	case act == 1 && len(tr.table.underWay) > 0:
		tr.table.arrive(rapid.IntRange(0, len(tr.table.underWay)-1).Draw(tr.t, "which"))
	case act == 2 && p.holds():
		p.dispatched = true
	case act == 3 && p.holds() && !p.dispatched:
		p.verdict, p.sealing = StepNotTaken, true
		p.machine, p.step = Release(p.claim.Token, p.claim.Version)
	case p.working():
		faults := []fault{noFault, dropAnswer, late, lost, refused, crossed}
		tr.advance(p, rapid.SampledFrom(faults).Draw(tr.t, "fault"))
	}
	tr.check()
}

// heal lets all that is under way arrive and all players come to their end.
func (tr *trace) heal() {
	for len(tr.table.underWay) > 0 {
		tr.table.arrive(0)
	}
	for _, p := range tr.players {
		for n := 0; p.working(); n++ {
			if n > 100 {
				tr.t.Fatalf("%s comes to no end", p.claim.Token)
			}
			tr.advance(p, noFault)
			tr.check()
		}
	}
}

// Callers resend one unrepeatable request, so several nodes claim it. Answers are
// lost before or after the write's effect, writes take effect after their sender
// went on, answers are crossed, the table refuses. Whatever the order, one attempt
// at most may hold the claim, and one that was told NotTaken (its caller: NotRun)
// never does. When the faults end, a request that nobody holds can be claimed.
func TestRandomTraces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := &trace{t: t, table: newFakeTable()}
		tr.claimer = &Claimer{
			cfg:   Settings{}.withDefaults(),
			seams: Seams{Transact: tr.table.Transact, Read: tr.table.Read, AskOwner: tr.word},
			clock: newFakeClock(),
		}
		tr.start()
		tr.start()
		for range rapid.IntRange(1, 60).Draw(t, "length") {
			tr.random()
		}
		tr.heal()
		held := false
		for _, p := range tr.players {
			held = held || p.holds()
		}
		last := tr.start()
		for last.working() {
			tr.advance(last, noFault)
			tr.check()
		}
		if want := StepTaken; !held && last.verdict != want {
			t.Fatalf("nobody holds the request, but a new attempt ends %s", last.verdict)
		}
	})
}

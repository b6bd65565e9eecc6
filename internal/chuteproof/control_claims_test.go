package chuteproof

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"azurechute.example/azurechute/internal/chuteclaim"
	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/internal/chutestandin"
	"azurechute.example/azurechute/internal/chutetable"
)

// claimAct is what a holder does with its claim.
type claimAct string

const (
	actFinish claimAct = "Finish" // hands over and writes the result
	actDie    claimAct = "Die"    // hands over and is never heard of again
	actGiveUp claimAct = "GiveUp" // tells its caller NotRun before any hand-over
)

// claimTrace is one drawn run of two nodes that claim the same unrepeatable requests.
type claimTrace struct {
	rt       *rapid.T
	faults   []chutestandin.Fault
	keys     int
	patience []time.Duration
	acts     []claimAct
	silent   bool
	gap      time.Duration
}

func drawClaims(rt *rapid.T) claimTrace {
	return claimTrace{
		rt: rt,
		faults: drawFaults(rt, []chutestandin.FaultKind{
			chutestandin.FaultDown, chutestandin.FaultDropAnswer, chutestandin.FaultFail, chutestandin.FaultLate,
			chutestandin.FaultSlow, chutestandin.FaultRefuse, chutestandin.FaultTruncate, chutestandin.FaultCross,
		}, []string{"/v1/transact", "/v1/transact", "/v1/read"}),
		keys: rapid.IntRange(1, 3).Draw(rt, "keys"),
		patience: rapid.SliceOfN(rapid.SampledFrom([]time.Duration{
			20 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond,
		}), 1, 4).Draw(rt, "patience"),
		acts:   rapid.SliceOfN(rapid.SampledFrom([]claimAct{actFinish, actDie, actGiveUp}), 1, 6).Draw(rt, "acts"),
		silent: rapid.Bool().Draw(rt, "owner silent"),
		gap:    drawMillis(rt, "gap", 0, 10*time.Millisecond),
	}
}

// claimAttempt is one submission of a request at a node: its token, what its caller was told, what was handed over.
type claimAttempt struct {
	key chuterequest.Key
	act claimAct

	mu         sync.Mutex
	token      string
	verdict    chuteclaim.Verdict
	handedOver bool
	gaveUp     bool
}

func (a *claimAttempt) told(verdict chuteclaim.Verdict) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.verdict = verdict
}

func (a *claimAttempt) handOver() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.handedOver = true
}

// claimant is one node's way to claim, ours or the naive one.
type claimant interface {
	attempt(ctx context.Context, a *claimAttempt)
	// end waits until nothing of the node is under way and its background is done.
	end() error
}

// ourClaimant claims as chutenode does.
type ourClaimant struct {
	claimer *chuteclaim.Claimer
	token   string
	other   *ourClaimant
	silent  bool
}

func newOurClaimant(p *platform, silent bool, timeout time.Duration) *ourClaimant {
	n := &ourClaimant{silent: silent}
	client := p.client(timeout)
	n.claimer = chuteclaim.New(chuteclaim.Settings{}, chuteclaim.Seams{
		Transact: client.Transact, Read: client.Read,
		AskOwner: func(_ context.Context, record chuteclaim.Record) (chuteclaim.Word, error) {
			if n.silent || n.other == nil {
				return chuteclaim.WordUnknown, errors.New("no answer from the owner")
			}

			return n.other.claimer.Word(record.Token), nil
		},
		NewToken: func() string {
			n.token = rand.Text()

			return n.token
		},
	}, newHurriedClock(), zerolog.Nop())

	return n
}

func (n *ourClaimant) attempt(ctx context.Context, a *claimAttempt) {
	taking := n.claimer.Take(ctx, a.key, "node", "10.0.0.1:9090")
	a.token = n.token
	a.told(taking.Verdict)
	if taking.Verdict != chuteclaim.VerdictTaken {
		// Whatever comes late, the token must be dead for this process.
		n.dispatch(a, chuteclaim.Claim{Key: a.key, Token: a.token, UsableUntil: time.Now().Add(time.Hour)})

		return
	}
	if a.act == actGiveUp {
		a.gaveUp = n.claimer.GiveUp(ctx, taking.Claim) == nil
	}
	n.dispatch(a, taking.Claim)
	if a.act == actFinish {
		_ = n.claimer.Finish(ctx, taking.Claim, chuterequest.Outcome{Kind: chuterequest.OutcomeAnswered}, []byte(`"done"`))
	}
}

// dispatch hands the request over if the claimer lets it.
func (n *ourClaimant) dispatch(a *claimAttempt, claim chuteclaim.Claim) {
	if n.claimer.BeginDispatch(claim) == nil {
		a.handOver()
	}
}

func (n *ourClaimant) end() error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if left := n.claimer.Close(ctx); left > 0 {
		return fmt.Errorf("%d rows not marked given up", left)
	}

	return nil
}

// naiveClaimant inserts a row and hands the request over when the insert succeeds. It tells NotRun on any error and
// when its caller's patience ends, and never looks at the row again.
type naiveClaimant struct {
	client *chutetable.Client
	writes sync.WaitGroup
}

func newNaiveClaimant(p *platform, timeout time.Duration) *naiveClaimant {
	return &naiveClaimant{client: p.client(4 * timeout)}
}

func (n *naiveClaimant) attempt(ctx context.Context, a *claimAttempt) {
	a.token = rand.Text()
	done := make(chan chuteclaim.Verdict, 1)
	n.writes.Go(func() {
		verdict := n.insert(a)
		if verdict == chuteclaim.VerdictTaken && a.act != actGiveUp {
			a.handOver()
		}
		done <- verdict
	})
	verdict := chuteclaim.VerdictNotTaken
	select {
	case verdict = <-done:
	case <-ctx.Done():
	}
	a.told(verdict)
	if verdict == chuteclaim.VerdictTaken && a.act == actGiveUp {
		a.gaveUp = true
		_, _ = n.client.Transact(ctx, "naive release", chutetable.Transaction{
			Writes: []chutetable.Write{{Key: chuteclaim.RowKey(a.key), Delete: true}},
		})
	}
}

func (n *naiveClaimant) insert(a *claimAttempt) chuteclaim.Verdict {
	key := chuteclaim.RowKey(a.key)
	reply, err := n.client.Transact(context.Background(), "naive claim", chutetable.Transaction{
		Conditions: []chutetable.Condition{{Key: key}},
		Writes:     []chutetable.Write{{Key: key, Value: []byte(`{"Token":"` + a.token + `"}`)}},
	})
	switch {
	case err != nil:
		return chuteclaim.VerdictNotTaken
	case reply.Committed:
		return chuteclaim.VerdictTaken
	}

	return chuteclaim.VerdictHeldByOther
}

func (n *naiveClaimant) end() error {
	n.writes.Wait()

	return nil
}

// play lets both nodes claim every request, heals the table, and sends each request once more.
func (tr claimTrace) play(naive bool) ending {
	p := newPlatform(tr.rt)
	nodes := tr.nodes(p, naive, platformTimeout)
	p.fail(tr.rt, tr.faults, nil)
	attempts := tr.claim(nodes)
	struck := p.struck(tr.faults)
	p.settle(tr.rt)
	var j judgement
	for i, n := range nodes {
		if err := n.end(); err != nil {
			j.add("Unsealed: node %d: %v", i, err)
		}
	}
	p.settle(tr.rt)
	// Without faults only a busy machine makes calls slow; that must not count against the nodes.
	last := tr.nodes(p, naive, undisturbedTimeout)[0]
	for i := range tr.keys {
		a := &claimAttempt{key: claimKey(i), act: actFinish}
		last.attempt(context.Background(), a)
		j = append(j, judgeResend(a, attempts)...)
		attempts = append(attempts, a)
	}
	if err := last.end(); err != nil {
		j.add("Unsealed: the last node: %v", err)
	}
	counts := map[string]int{}
	for _, a := range attempts {
		counts["told "+string(a.verdict)]++
	}

	return ending{judgement: append(j, judgeClaims(attempts)...), faults: struck, counts: counts}
}

func claimKey(i int) chuterequest.Key {
	return chuterequest.Key{Workspace: "registry", RequestID: fmt.Sprintf("enrolment-%d", i)}
}

func (tr claimTrace) nodes(p *platform, naive bool, timeout time.Duration) []claimant {
	if naive {
		return []claimant{newNaiveClaimant(p, timeout), newNaiveClaimant(p, timeout)}
	}
	a, b := newOurClaimant(p, tr.silent, timeout), newOurClaimant(p, tr.silent, timeout)
	a.other, b.other = b, a

	return []claimant{a, b}
}

// claim runs each node's attempts beside the other's.
func (tr claimTrace) claim(nodes []claimant) []*claimAttempt {
	var attempts []*claimAttempt
	var running sync.WaitGroup
	for i, n := range nodes {
		var own []*claimAttempt
		for turn := range 2 * tr.keys {
			own = append(own, &claimAttempt{
				key: claimKey(turn % tr.keys), act: tr.acts[(i+turn)%len(tr.acts)],
			})
		}
		attempts = append(attempts, own...)
		running.Go(func() {
			time.Sleep(time.Duration(i) * tr.gap)
			for turn, a := range own {
				ctx, cancel := context.WithTimeout(context.Background(), tr.patience[(i+turn)%len(tr.patience)])
				n.attempt(ctx, a)
				cancel()
			}
		})
	}
	running.Wait()

	return attempts
}

// judgeClaims: whoever was told NotTaken or gave up has handed nothing over, and each request was handed over under
// one token at most.
func judgeClaims(attempts []*claimAttempt) judgement {
	var j judgement
	handedOver := map[chuterequest.Key]int{}
	for _, a := range attempts {
		if a.handedOver {
			handedOver[a.key]++
		}
		if a.handedOver && (a.verdict != chuteclaim.VerdictTaken || a.gaveUp) {
			j.add("RanAnyway: %s was told %s (given up: %v), but was handed over", a.key, a.verdict, a.gaveUp)
		}
	}
	for key, n := range handedOver {
		if n > 1 {
			j.add("Twice: %s was handed over %d times", key, n)
		}
	}

	return j
}

// judgeResend: a request of which every caller was told that it was not run can be sent again, and then runs.
func judgeResend(again *claimAttempt, before []*claimAttempt) judgement {
	var j judgement
	for _, a := range before {
		if a.key == again.key && a.verdict == chuteclaim.VerdictTaken && !a.gaveUp {
			return nil
		}
	}
	if again.verdict != chuteclaim.VerdictTaken {
		j.add("Stuck: nobody ran %s, but sent again it was told %s", again.key, again.verdict)
	}

	return j
}

// A registrar's enrolment is submitted at two nodes while the table loses the answers of writes that took effect,
// takes writes after their sender gave up, or swaps answers. The naive node says NotRun on any error: the write's late
// success runs the enrolment all the same, or its row blocks the registrar's next try for good. Ours reads back,
// keeps a claim that was not told as taken dead, and marks its row given up.
func TestProofNotRunMeansNotRunClaims(t *testing.T) {
	t.Parallel()
	comparison[claimTrace]{
		name: "NotRunMeansNotRunClaims", draw: drawClaims,
		needs: []string{"told Taken", "told NotTaken", "told HeldByOther"},
		play:  func(tr claimTrace, naive bool) ending { return tr.play(naive) },
	}.run(t)
}

package chuteproof

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"azurechute.example/azurechute/internal/chutestandin"
	"azurechute.example/azurechute/internal/chutestore"
	"azurechute.example/azurechute/internal/chutetable"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

// raceTrace is one drawn race of operators who publish on top of the same version.
type raceTrace struct {
	rt             *rapid.T
	table, objects []chutestandin.Fault
	patience       []time.Duration
	gap            time.Duration
}

func drawRace(rt *rapid.T) raceTrace {
	tr := raceTrace{
		rt: rt,
		table: drawFaults(rt, []chutestandin.FaultKind{
			chutestandin.FaultDown, chutestandin.FaultDropAnswer, chutestandin.FaultFail, chutestandin.FaultLate,
			chutestandin.FaultSlow, chutestandin.FaultRefuse, chutestandin.FaultTruncate,
			chutestandin.FaultCross, chutestandin.FaultCross, chutestandin.FaultCross,
		}, []string{"/v1/transact", "/v1/transact", "/v1/read"}),
		patience: rapid.SliceOfN(rapid.SampledFrom([]time.Duration{
			50 * time.Millisecond, 300 * time.Millisecond, time.Second,
		}), 2, 3).Draw(rt, "operators"),
		gap: drawMillis(rt, "gap", 0, 5*time.Millisecond),
	}
	if rapid.IntRange(0, 3).Draw(rt, "objects too") == 0 {
		tr.objects = drawFaults(rt, []chutestandin.FaultKind{
			chutestandin.FaultDown, chutestandin.FaultDropAnswer, chutestandin.FaultLate, chutestandin.FaultRefuse,
		}, []string{"/v1/objects"})
	}

	return tr
}

// publishing is what an operator was told.
type publishing struct {
	operator  string
	expect    uint64
	published chutestore.Published
	err       error
}

// publish is an operator's apply, ours or the naive one.
type publish func(ctx context.Context, set chuteconfig.Set, expect uint64, operator string) (chutestore.Published, error)

func ourPublish(client *chutetable.Client) publish {
	return chutestore.New(chutestore.NewPlatform(client), newHurriedClock()).Publish
}

// naivePublish reads, puts and writes without a condition, and takes every error for a failure.
func naivePublish(client *chutetable.Client) publish {
	return func(ctx context.Context, set chuteconfig.Set, _ uint64, operator string) (chutestore.Published, error) {
		store := chutestore.New(chutestore.NewPlatform(client), newHurriedClock())
		head, err := store.ReadHead(ctx)
		if err != nil {
			return chutestore.Published{}, errors.Join(chutestore.ErrNotPublished, err)
		}
		set.Version = head.Version + 1
		body := chuteconfig.EncodeSet(set)
		next := chutestore.Head{Version: set.Version, Digest: chuteconfig.Digest(body), Operator: operator}
		next.Object = "config/" + next.Digest
		if err := client.PutObject(ctx, next.Object, body); err != nil {
			return chutestore.Published{}, errors.Join(chutestore.ErrNotPublished, err)
		}
		value, err := json.Marshal(next)
		if err != nil {
			return chutestore.Published{}, err
		}
		_, err = client.Transact(ctx, "naive publish", chutetable.Transaction{Writes: []chutetable.Write{
			{Key: chutestore.HeadKey, Value: value},
			{Key: fmt.Sprintf("config/history/%020d", next.Version), Value: value},
		}})
		if err != nil {
			return chutestore.Published{}, errors.Join(chutestore.ErrNotPublished, err)
		}

		return chutestore.Published{Version: next.Version, Digest: next.Digest}, nil
	}
}

// operatorSet is a valid set by whose weight operators' work is told apart.
func operatorSet(weight int) chuteconfig.Set {
	second := chuteconfig.Duration(time.Second)
	cfg := chuteconfig.WithDefaults(chuteconfig.Config{
		Site:  "kura",
		Zones: map[string]chuteconfig.Zone{"a": {Region: "tbilisi"}},
		Teams: map[string]chuteconfig.Team{"advice": {Weight: weight}},
		Workspaces: map[string]chuteconfig.Workspace{
			"members": {Team: "advice", Weight: 1, TokenDigests: []string{chuteconfig.TokenDigest("t")}},
		},
		Pools: map[string]chuteconfig.Pool{"encoder": {Kind: chuteconfig.PoolEncoder, Slots: 1, Typical: second}},
		Pipelines: map[string]chuteconfig.Pipeline{
			"advice": {Team: "advice", Deadline: 2 * second, Stages: []chuteconfig.Stage{{Name: "encode", Pool: "encoder"}}},
		},
	})

	return chuteconfig.Set{Sites: map[string]chuteconfig.Config{"kura": cfg}}
}

// play lets the operators race, heals the platform, and lets one more publish on top of what then stands.
func (tr raceTrace) play(make func(client *chutetable.Client) publish) ending {
	p := newPlatform(tr.rt)
	var j judgement
	first := ourPublish(p.client(undisturbedTimeout))
	if _, err := first(context.Background(), operatorSet(1), 0, "first"); err != nil {
		tr.rt.Fatal(err)
	}
	p.fail(tr.rt, tr.table, tr.objects)
	tolds := tr.race(p, make)
	struck := p.struck(tr.table)
	p.settle(tr.rt)
	book := readBook(tr.rt, p)
	_, err := first(context.Background(), operatorSet(1000), book.head.Version, "last")
	if err != nil {
		j.add("Stuck: after the race nobody can publish: %v", err)
	}
	counts := map[string]int{}
	for _, told := range tolds {
		counts["told "+told.kind()]++
	}

	return ending{judgement: append(j, judgeRace(tolds, readBook(tr.rt, p))...), faults: struck, counts: counts}
}

func (tr raceTrace) race(p *platform, make func(client *chutetable.Client) publish) []publishing {
	tolds := []publishing{}
	var mu sync.Mutex
	var operators sync.WaitGroup
	for i, patience := range tr.patience {
		run := make(p.client(platformTimeout))
		operators.Go(func() {
			time.Sleep(time.Duration(i) * tr.gap)
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			told := publishing{operator: fmt.Sprintf("operator-%d", i), expect: 1}
			told.published, told.err = run(ctx, operatorSet(i+2), told.expect, told.operator)
			mu.Lock()
			defer mu.Unlock()
			tolds = append(tolds, told)
		})
	}
	operators.Wait()

	return tolds
}

// kind says in a word what the operator was told.
func (t publishing) kind() string {
	var conflict *chutestore.Conflict
	switch {
	case t.err == nil:
		return "published"
	case errors.As(t.err, &conflict):
		return "conflict"
	case errors.Is(t.err, chutestore.ErrNotPublished):
		return "not published"
	case errors.Is(t.err, chutestore.ErrOutcomeUnknown):
		return "unknown"
	}

	return "something vague"
}

// book is what the platform holds of configurations.
type book struct {
	head    chutestore.Head
	history []chutestore.Head
	bodies  map[string]string // digests of the objects, by name
}

func readBook(rt *rapid.T, p *platform) book {
	client := p.client(undisturbedTimeout)
	rows, err := client.Scan(context.Background(), "read book", "config/", 0)
	if err != nil {
		rt.Fatal(err)
	}
	b := book{bodies: map[string]string{}}
	for _, row := range rows {
		var head chutestore.Head
		if err := json.Unmarshal(row.Value, &head); err != nil {
			rt.Fatal(err)
		}
		if body, err := client.GetObject(context.Background(), head.Object); err == nil {
			b.bodies[head.Object] = chuteconfig.Digest(body)
		}
		if strings.HasPrefix(row.Key, "config/history/") {
			b.history = append(b.history, head)
		} else {
			b.head = head
		}
	}

	return b
}

// judgeRace: the history has no gap and ends at the head, every object is whole, and each operator's word fits it.
func judgeRace(tolds []publishing, b book) judgement {
	var j judgement
	for i, h := range b.history {
		if h.Version != uint64(i+1) {
			j.add("History: row %d is version %d", i+1, h.Version)
		}
		if b.bodies[h.Object] != h.Digest {
			j.add("Half: the object of version %d has digest %q, not %q", h.Version, b.bodies[h.Object], h.Digest)
		}
	}
	if n := len(b.history); n == 0 || b.history[n-1] != b.head {
		j.add("Head: version %d is not the last of the history", b.head.Version)
	}
	winners := map[uint64]string{}
	for _, told := range tolds {
		j = append(j, judgeWord(told, b)...)
		if told.err != nil {
			continue
		}
		if other, taken := winners[told.published.Version]; taken {
			j.add("Winners: %s and %s were told that they published version %d", other, told.operator, told.published.Version)
		}
		winners[told.published.Version] = told.operator
	}

	return j
}

// judgeWord compares one operator's word with the history.
func judgeWord(told publishing, b book) judgement {
	var j judgement
	var own []chutestore.Head
	for _, h := range b.history {
		if h.Operator == told.operator {
			own = append(own, h)
		}
	}
	switch kind := told.kind(); kind {
	case "published":
		if len(own) != 1 || own[0].Version != told.published.Version || own[0].Digest != told.published.Digest {
			j.add("Lost: %s was told that it published version %d, which the history does not have of it", told.operator, told.published.Version)
		}
	case "unknown":
	case "conflict", "not published":
		if len(own) > 0 {
			j.add("Untrue: %s was told %s, but the history has its version %d", told.operator, kind, own[0].Version)
		}
	default:
		j.add("Vague: %s was told %v", told.operator, told.err)
	}
	var conflict *chutestore.Conflict
	if errors.As(told.err, &conflict) && len(conflict.Changes) == 0 && conflict.Problem == "" {
		j.add("Silent: %s lost and was not told what changed", told.operator)
	}

	return j
}

// Two operators publish on top of the same version while the table loses answers, takes writes late, refuses them or
// swaps its answers. With the naive apply the last write wins and both are told that they published; with ours one
// wins, and the other is told what changed, or honestly that it is not known.
func TestProofOperatorRaceHasOneWinner(t *testing.T) {
	t.Parallel()
	comparison[raceTrace]{
		name: "OperatorRaceHasOneWinner", draw: drawRace,
		needs: []string{"told published", "told conflict", "told not published", "told unknown"},
		play: func(tr raceTrace, naive bool) ending {
			if naive {
				return tr.play(naivePublish)
			}

			return tr.play(ourPublish)
		},
	}.run(t)
}

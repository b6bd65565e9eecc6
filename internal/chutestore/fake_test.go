package chutestore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"azurechute.example/azurechute/internal/chutetable"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

var errObjectsDown = errors.New("objects down")

// fakePlatform holds the rows and objects; before and lose act on the n-th transaction, counted from 1.
type fakePlatform struct {
	rows        map[string]chutetable.Row
	objects     map[string][]byte
	version     uint64
	sent        int
	objectsDown bool
	// before runs ahead of a transaction and may keep it from taking effect.
	before func(n int) error
	// lose drops the answer after the transaction took effect.
	lose func(n int) bool
}

func newFake() *fakePlatform {
	return &fakePlatform{rows: map[string]chutetable.Row{}, objects: map[string][]byte{}}
}

func (f *fakePlatform) store(name string) Store {
	s := New(Platform{f.transact, f.read, f.putObject, f.getObject}, clockwork.NewFakeClock())
	n := 0
	s.newID = func() string { n++; return fmt.Sprint(name, n) }
	s.pause = func(ctx context.Context, _ time.Duration) error { return ctx.Err() }

	return s
}

func (f *fakePlatform) transact(_ context.Context, _ string, tx chutetable.Transaction) (chutetable.Reply, error) {
	f.sent++
	n := f.sent
	if f.before != nil {
		if err := f.before(n); err != nil {
			return chutetable.Reply{}, err
		}
	}
	reply := f.apply(tx)
	if f.lose != nil && f.lose(n) {
		return chutetable.Reply{}, chutetable.ErrOutcomeUnknown
	}

	return reply, nil
}

func (f *fakePlatform) apply(tx chutetable.Transaction) chutetable.Reply {
	failed := slices.DeleteFunc(slices.Clone(tx.Conditions), func(c chutetable.Condition) bool {
		return f.rows[c.Key].Version == c.Version
	})
	if len(failed) > 0 {
		reply := chutetable.Reply{}
		for _, c := range failed {
			if row, ok := f.rows[c.Key]; ok {
				reply.Rows = append(reply.Rows, row)
			}
		}

		return reply
	}
	reply := chutetable.Reply{Committed: true}
	for _, w := range tx.Writes {
		f.version++
		f.rows[w.Key] = chutetable.Row{Key: w.Key, Value: w.Value, Version: f.version}
		reply.Rows = append(reply.Rows, f.rows[w.Key])
	}

	return reply
}

func (f *fakePlatform) read(_ context.Context, _ string, keys ...string) ([]chutetable.Row, error) {
	var rows []chutetable.Row
	for _, key := range keys {
		if row, ok := f.rows[key]; ok {
			rows = append(rows, row)
		}
	}

	return rows, nil
}

func (f *fakePlatform) putObject(_ context.Context, name string, body []byte) error {
	if f.objectsDown {
		return errObjectsDown
	}
	f.objects[name] = body

	return nil
}

func (f *fakePlatform) getObject(_ context.Context, name string) ([]byte, error) {
	body, ok := f.objects[name]
	if !ok {
		return nil, chutetable.ErrNotFound
	}

	return body, nil
}

// setOf returns a valid set whose team has the weight, by which tests tell sets apart.
func setOf(weight int) chuteconfig.Set {
	second := chuteconfig.Duration(time.Second)
	cfg := chuteconfig.WithDefaults(chuteconfig.Config{
		Site:  "kura",
		Zones: map[string]chuteconfig.Zone{"a": {Region: "r"}},
		Teams: map[string]chuteconfig.Team{"advice": {Weight: weight}},
		Workspaces: map[string]chuteconfig.Workspace{
			"members": {Team: "advice", Weight: 1, TokenDigests: []string{chuteconfig.TokenDigest("t")}},
		},
		Pools: map[string]chuteconfig.Pool{
			"encoder": {Kind: chuteconfig.PoolEncoder, Slots: 1, Typical: second},
		},
		Pipelines: map[string]chuteconfig.Pipeline{
			"p": {Team: "advice", Deadline: 2 * second, Stages: []chuteconfig.Stage{{Name: "encode", Pool: "encoder"}}},
		},
	})

	return chuteconfig.Set{Sites: map[string]chuteconfig.Config{"kura": cfg}}
}

// expectInForce reads the head and its set back.
func expectInForce(c *qt.C, s Store, version uint64, weight int) {
	c.Helper()
	head, err := s.ReadHead(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(head.Version, qt.Equals, version)
	set, err := s.ReadSet(context.Background(), head)
	c.Assert(err, qt.IsNil)
	c.Assert(set.Sites["kura"].Teams["advice"].Weight, qt.Equals, weight)
}

func expectPublished(c *qt.C, s Store, weight int, expect uint64, operator string) {
	c.Helper()
	got, err := s.Publish(context.Background(), setOf(weight), expect, operator)
	c.Assert(err, qt.IsNil)
	c.Assert(got.Version, qt.Equals, expect+1)
}

// expectConflict publishes in vain and expects to be told who changed which path.
func expectConflict(c *qt.C, s Store, weight int, expect uint64, operator, path string) {
	c.Helper()
	_, err := s.Publish(context.Background(), setOf(weight), expect, "late")
	var conflict *Conflict
	c.Assert(errors.As(err, &conflict), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(conflict.Problem, qt.Equals, "")
	c.Assert(conflict.Head.Operator, qt.Equals, operator)
	c.Assert(conflict.Changes, qt.HasLen, 1)
	c.Assert(conflict.Changes[0].Path, qt.Equals, path)
}

func corrupt(t *testing.T, f *fakePlatform, key string, change func(*Head)) {
	t.Helper()
	row := f.rows[key]
	var head Head
	qt.Assert(t, json.Unmarshal(row.Value, &head), qt.IsNil)
	change(&head)
	row.Value, _ = json.Marshal(head)
	f.rows[key] = row
}

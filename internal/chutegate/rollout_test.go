package chutegate

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"azurechute.example/azurechute/internal/chutecanary"
	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chutefleet"
)

// Guards against calls to a version whose upstreams are listed before the order about it is known.
func TestVersionGuard(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	g := newVersionGuard()
	apply := func(confirmedAt, now time.Time, versions ...string) (held, released []string) {
		var change chutefleet.ListChange
		for _, version := range versions {
			change.Entries = append(change.Entries, chutefleet.Upstream{Name: version, Pool: "p", Version: version, State: chutefleet.StateReady})
		}
		for _, u := range g.apply(change, confirmedAt, now) {
			if u.Unvouched {
				held = append(held, u.Name)
			} else {
				released = append(released, u.Name)
			}
		}

		return held, released
	}
	expect := func(held, released []string, wantHeld, wantReleased []string) {
		c.Helper()
		c.Assert(held, qt.DeepEquals, wantHeld)
		c.Assert(released, qt.DeepEquals, wantReleased)
	}

	// What a node finds at its start is not new.
	held, released := apply(now, now, "v1", "v2")
	expect(held, released, nil, []string{"v1", "v2"})
	held, released = apply(now, now.Add(time.Second), "v2", "v3")
	expect(held, released, []string{"v3"}, []string{"v2"})
	held, released = apply(now.Add(900*time.Millisecond), now.Add(2*time.Second))
	expect(held, released, nil, nil)
	held, released = apply(now.Add(time.Second), now.Add(3*time.Second))
	expect(held, released, nil, []string{"v3"})
	held, released = apply(now.Add(time.Second), now.Add(4*time.Second), "v3")
	expect(held, released, nil, []string{"v3"})
	c.Assert(g.held, qt.HasLen, 0)
}

// Guards against an order that is taken for another one, or not noticed, after the store came back from a
// copy and has given its row's version out again.
func TestOrdersAcrossEras(t *testing.T) {
	table := func(era, version uint64, order string) chutefeed.Table {
		return chutefeed.NewTable([]chutefeed.Row{{Key: "rollout/p", Value: []byte(order), Version: version}}, 0).
			WithPosition(chutefeed.Position{Era: era, Version: 50})
	}
	for _, test := range []struct {
		name  string
		after chutefeed.Table
		want  chutecanary.Order
	}{
		{"the same order under another version", table(2, 5, "v2 20s"), chutecanary.Order{Version: "v2", Duration: 20 * time.Second, Revision: 9, Era: 1}},
		{"another order under the same version", table(2, 9, "v3 20s"), chutecanary.Order{Version: "v3", Duration: 20 * time.Second, Revision: 9, Era: 2}},
		{"a later order of the same era", table(1, 12, "v2 20s"), chutecanary.Order{Version: "v2", Duration: 20 * time.Second, Revision: 12, Era: 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := New(Settings{Tables: testTables}, clockwork.NewFakeClock(), zerolog.Nop(), Store{}, testDecoders(), Upstreams{})
			orders := &rolloutOrders{node: n}
			orders.update(table(1, 9, "v2 20s"))
			orders.update(test.after)
			test.want.Pool = "p"
			qt.Assert(t, orders.last.Orders, qt.DeepEquals, []chutecanary.Order{test.want})
		})
	}
}

package chutefleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestAvailability(t *testing.T) {
	both := fleetOf(upstream("a", "z1"), upstream("b", "z2"))
	silent := both.WithFailure("a", FailureSilent, start)
	for _, test := range []struct {
		name  string
		fleet Fleet
		now   time.Time
		want  Availability
		// lasting says that the upstream is no part of its pool either.
		lasting bool
	}{
		{name: "a listed one", fleet: both, now: start},
		{name: "one that is not listed", fleet: New("z1"), now: start, want: Availability{Bar: BarUnlisted}, lasting: true},
		{name: "a leaving one", fleet: both.WithLeaving("a"), now: start, want: Availability{Bar: BarLeaving}, lasting: true},
		{
			name:  "one whose entry can't be read",
			fleet: both.WithListed([]Upstream{{Name: "a", State: StateUnreadable}}, true), now: start,
			want: Availability{Bar: BarUnreadable}, lasting: true,
		},
		{
			name: "one in an evacuated zone", fleet: both.WithEvacuated([]string{"z1"}), now: start,
			want: Availability{Bar: BarEvacuated}, lasting: true,
		},
		{name: "one beside an evacuated zone", fleet: both.WithEvacuated([]string{"z2"}), now: start},
		{name: "one whose zone is taken back", fleet: both.WithEvacuated([]string{"z1"}).WithEvacuated(nil), now: start},
		{
			// A list read before the evacuation must not open the zone again.
			name:  "one that is listed anew while its zone is evacuated",
			fleet: both.WithEvacuated([]string{"z1"}).WithListed([]Upstream{upstream("a", "z1"), upstream("b", "z2")}, false),
			now:   start, want: Availability{Bar: BarEvacuated}, lasting: true,
		},
		{
			name: "one that went silent, until its pause is over", fleet: silent, now: start,
			want: Availability{Bar: BarSetAside, Until: start.Add(firstAside)},
		},
		{name: "one whose pause is over", fleet: silent, now: start.Add(firstAside)},
		{
			name: "one that a call is trying", fleet: silent.WithSent("a", 0), now: start.Add(firstAside),
			want: Availability{Bar: BarTried},
		},
		{
			name: "leaving goes before silence", fleet: silent.WithLeaving("a"), now: start,
			want: Availability{Bar: BarLeaving}, lasting: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(test.fleet.Availability("a", test.now), qt.Equals, test.want)
			c.Assert(test.want.Bar.Lasting(), qt.Equals, test.lasting)
			expectEverywhere(c, test.fleet, "a", test.now, test.want.Open())
		})
	}
}

// expectEverywhere fails unless all that hand out upstreams go by the same answer.
func expectEverywhere(c *qt.C, f Fleet, id string, now time.Time, open bool) {
	c.Helper()
	usable := false
	for _, u := range f.UsableIn("p", now) {
		usable = usable || u.ID == id
	}
	c.Assert(usable, qt.Equals, open)
	c.Assert(f.UsableInZone("p", "z1", now), qt.Equals, open)
	chosen, ok := f.Choose(Query{Pool: "p", Without: []string{"b"}}, now, 0)
	c.Assert(ok && chosen.ID == id, qt.Equals, open)
}

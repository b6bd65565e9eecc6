package chutefleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestZones(t *testing.T) {
	c := qt.New(t)
	cold, leaving := upstream("b", "z1"), upstream("c", "z2")
	cold.Cold = time.Second
	leaving.State = StateLeaving
	list := []Upstream{upstream("a", "z1"), cold, leaving, {Name: "d", State: StateUnreadable}}
	c.Assert(SummarizeZones(list, []string{"z3", "z1"}), qt.DeepEquals, []ZoneView{
		{Unreadable: 1},
		{Zone: "z1", Evacuated: true, Upstreams: 2, Cold: 1},
		{Zone: "z2", Leaving: 1},
		{Zone: "z3", Evacuated: true},
	})
}

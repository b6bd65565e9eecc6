package chutefleet

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestReports(t *testing.T) {
	now := start
	many := func(n int) Fleet {
		var all []Upstream
		for i := range n {
			id := fmt.Sprint("u", i)
			all = append(all, Upstream{ID: id, Name: id, Pool: "p", Zone: "z", Slots: 32, State: StateReady})
		}

		return fleetOf(all...)
	}

	t.Run("an older report does not replace a later one, and one too old counts for nothing", func(t *testing.T) {
		c := qt.New(t)
		f := many(2).WithReport(LoadReport{Upstream: "u0", Calls: 5, Age: 100 * time.Millisecond}, now)
		f = f.WithReport(LoadReport{Upstream: "u0", Calls: 9, Age: 200 * time.Millisecond}, now)
		f = f.WithReport(LoadReport{Upstream: "u1", Calls: 9, Age: reportLife}, now)
		w, ok := f.Report("u0", now)
		c.Assert(ok, qt.IsTrue)
		c.Assert(w, qt.Equals, LoadReport{Upstream: "u0", Calls: 5, Age: 100 * time.Millisecond})
		_, ok = f.Report("u1", now)
		c.Assert(ok, qt.IsFalse)
	})

	t.Run("a report on an upstream that is not listed is left out", func(t *testing.T) {
		c := qt.New(t)
		_, ok := many(1).WithReport(LoadReport{Upstream: "gone", Calls: 5}, now).Report("gone", now)
		c.Assert(ok, qt.IsFalse)
	})

	t.Run("those that are crowded are told, the most crowded first and not too many", func(t *testing.T) {
		c := qt.New(t)
		f := many(200)
		for i := range 40 {
			f = f.WithReport(LoadReport{Upstream: fmt.Sprint("u", i), Calls: 20 + i}, now)
		}
		crowded := f.Crowded("p", now)
		c.Assert(crowded, qt.HasLen, maxReports)
		c.Assert(crowded[0], qt.Equals, LoadReport{Upstream: "u39", Calls: 59})
	})

	t.Run("where all have as much to do none is crowded", func(t *testing.T) {
		c := qt.New(t)
		f := many(20)
		for i := range 20 {
			f = f.WithReport(LoadReport{Upstream: fmt.Sprint("u", i), Calls: 30}, now)
		}
		c.Assert(f.Crowded("p", now), qt.HasLen, 0)
	})
}

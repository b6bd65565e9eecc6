package chutefleet

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestReports(t *testing.T) {
	now := start
	fleetOfSize := func(n int) Fleet {
		var all []Upstream
		for i := range n {
			id := fmt.Sprint("u", i)
			all = append(all, Upstream{ID: id, Name: id, Pool: "p", Zone: "z", Slots: 32, State: StateReady})
		}

		return fleetOf(all...)
	}

	t.Run("an older report does not replace a later one, and a report that is too old is ignored", func(t *testing.T) {
		c := qt.New(t)
		f := fleetOfSize(2).WithLoadReport(LoadReport{Upstream: "u0", Calls: 5, Age: 100 * time.Millisecond}, now)
		f = f.WithLoadReport(LoadReport{Upstream: "u0", Calls: 9, Age: 200 * time.Millisecond}, now)
		f = f.WithLoadReport(LoadReport{Upstream: "u1", Calls: 9, Age: loadReportLifetime}, now)
		r, ok := f.LoadReport("u0", now)
		c.Assert(ok, qt.IsTrue)
		c.Assert(r, qt.Equals, LoadReport{Upstream: "u0", Calls: 5, Age: 100 * time.Millisecond})
		_, ok = f.LoadReport("u1", now)
		c.Assert(ok, qt.IsFalse)
	})

	t.Run("a report on an upstream that is not listed is ignored", func(t *testing.T) {
		c := qt.New(t)
		_, ok := fleetOfSize(1).WithLoadReport(LoadReport{Upstream: "gone", Calls: 5}, now).LoadReport("gone", now)
		c.Assert(ok, qt.IsFalse)
	})

	t.Run("overloaded upstreams are reported, those with the most calls first, up to maxReports", func(t *testing.T) {
		c := qt.New(t)
		f := fleetOfSize(200)
		for i := range 40 {
			f = f.WithLoadReport(LoadReport{Upstream: fmt.Sprint("u", i), Calls: 20 + i}, now)
		}
		overloaded := f.OverloadReports("p", now)
		c.Assert(overloaded, qt.HasLen, maxReports)
		c.Assert(overloaded[0], qt.Equals, LoadReport{Upstream: "u39", Calls: 59})
	})

	t.Run("no upstream is overloaded if all have the same load", func(t *testing.T) {
		c := qt.New(t)
		f := fleetOfSize(20)
		for i := range 20 {
			f = f.WithLoadReport(LoadReport{Upstream: fmt.Sprint("u", i), Calls: 30}, now)
		}
		c.Assert(f.OverloadReports("p", now), qt.HasLen, 0)
	})
}

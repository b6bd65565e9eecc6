package chutemeter

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chuterelay"
)

func text(c *qt.C, m *Meter) string {
	var b strings.Builder
	c.Assert(m.Write(&b), qt.IsNil)

	return b.String()
}

func TestMeter(t *testing.T) {
	t.Run("decisions are counted by step, pipeline, pool and cause", func(t *testing.T) {
		c := qt.New(t)
		m := New()
		for range 3 {
			m.Note(chuterelay.LogStep{
				Step: chuterelay.StepRefused, Pipeline: "p", Pool: "q", Reason: "NotRun: the queue", Age: 20 * time.Millisecond,
			})
		}
		m.Gauge("ready", func() float64 { return 1 })
		got := text(c, m)
		c.Assert(got, qt.Contains, `azurechute_steps_total{step="refused",pipeline="p",pool="q",cause="NotRun"} 3`)
		c.Assert(got, qt.Contains, `azurechute_step_age_ms{step="refused",pipeline="p",pool="q",cause="",quantile="0.5"} 20`)
		c.Assert(got, qt.Contains, "azurechute_ready 1\n")
	})

	t.Run("names that come and go do not fill the memory", func(t *testing.T) {
		c := qt.New(t)
		m := New()
		for i := range 10 * maxSeries {
			m.Note(chuterelay.LogStep{Step: chuterelay.StepSent, Pipeline: fmt.Sprint(i)})
		}
		c.Assert(len(m.counts) <= maxSeries+1, qt.IsTrue)
		c.Assert(text(c, m), qt.Contains, `pipeline="(other)"`)
	})
}

func TestWorkspaces(t *testing.T) {
	t.Run("of 37,000 workspaces the loud one is shown by name, and nothing is lost", func(t *testing.T) {
		c := qt.New(t)
		m := New()
		for i := range 37_000 {
			m.Note(chuterelay.LogStep{Step: chuterelay.StepAdmitted, Workspace: fmt.Sprint("w", i)})
			m.Note(chuterelay.LogStep{Step: chuterelay.StepAdmitted, Workspace: "loud"})
		}
		c.Assert(m.workspaces["loud"][chuterelay.StepAdmitted], qt.Equals, int64(37_000))
		c.Assert(len(m.workspaces) <= maxWorkspaces+1, qt.IsTrue)
		sum := int64(0)
		for _, counts := range m.workspaces {
			sum += total(counts)
		}
		c.Assert(sum, qt.Equals, int64(74_000))
		var text strings.Builder
		c.Assert(m.Write(&text), qt.IsNil)
		c.Assert(text.String(), qt.Contains, `azurechute_workspace_requests_total{workspace="loud",step="admitted"} 37000`)
	})
}

func TestOverdue(t *testing.T) {
	// Guards against a figure that can't tell calls that were moved from those that were left, or that grows without bound.
	c := qt.New(t)
	m := New()
	moved := chuterelay.OverdueView{Decision: chuterelay.OverdueMoved}
	m.Note(chuterelay.LogStep{Step: chuterelay.StepOverdue, Pool: "p", Overdue: &moved})
	m.Note(chuterelay.LogStep{Step: chuterelay.StepOverdue, Pool: "p", Overdue: &moved})
	m.Note(chuterelay.LogStep{Step: chuterelay.StepOverdue, Pool: "p", Overdue: &chuterelay.OverdueView{Decision: chuterelay.OverduePoolSlow, Stream: true}})
	got := text(c, m)
	c.Assert(got, qt.Contains, `azurechute_overdue_total{pool="p",waits="first event",decision="moved"} 2`)
	c.Assert(got, qt.Contains, `azurechute_overdue_total{pool="p",waits="next event",decision="left: others are no faster"} 1`)
	for i := range 10 * maxSeries {
		m.Note(chuterelay.LogStep{Step: chuterelay.StepOverdue, Pool: fmt.Sprint(i), Overdue: &moved})
	}
	c.Assert(len(m.overdue) <= maxSeries+1, qt.IsTrue)
}

func TestRepeats(t *testing.T) {
	c := qt.New(t)
	m := New()
	m.Note(chuterelay.LogStep{Step: chuterelay.StepSent, Pool: "p"})
	m.Note(chuterelay.LogStep{Step: chuterelay.StepSent, Pool: "p", RepeatOf: chuterelay.EndRefused})
	m.Note(chuterelay.LogStep{Step: chuterelay.StepRetryRefused, Pool: "p", RepeatOf: chuterelay.EndBroken})
	got := text(c, m)
	c.Assert(got, qt.Contains, `azurechute_repeats_total{pool="p",after="Refused"} 1`)
	c.Assert(got, qt.Contains, `azurechute_repeats_refused_total{pool="p",after="Broken"} 1`)
}

package chutecli

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const summaryLog = `{"Node":"n1","Request":"r1","Pipeline":"draft","AgeMs":0,"message":"admitted"}
{"Node":"n1","Request":"r1","Pipeline":"draft","Pool":"parts","Stage":0,"AgeMs":10,"message":"stage asked"}
{"Node":"n1","Request":"r1","Pipeline":"draft","Pool":"parts","Stage":0,"AgeMs":310,"message":"stage made"}
{"Node":"n1","Request":"r1","Pipeline":"draft","AgeMs":310,"message":"sent"}
{"Node":"n1","Request":"r1","Pipeline":"draft","AgeMs":400,"message":"began"}
{"Node":"n1","Request":"r1","Pipeline":"draft","AgeMs":900,"message":"answered"}
{"Node":"n2","Request":"r2","Pipeline":"draft","Reason":"NotRun: the queues of its stages are too long: 501.8ms","AgeMs":0,"message":"refused"}
{"Node":"n2","Request":"r3","Pipeline":"draft","Reason":"NotRun: the queues of its stages are too long: 2.2s","AgeMs":0,"message":"refused"}
{"Node":"n2","Upstream":"u1","message":"upstream listed"}
{"Node":"n2","Request":"r4","Pipeline":"dra
`

// runSummary runs the command over a log and returns its output.
func runSummary(c *qt.C, log string, args ...string) string {
	var out, errors bytes.Buffer
	app := New("test")
	app.Stdin, app.Stdout, app.Stderr = strings.NewReader(log), &out, &errors
	c.Assert(app.Run(context.Background(), append([]string{"summary"}, args...)), qt.Equals, exitOK, qt.Commentf("%s", &errors))

	return out.String()
}

func TestSummary(t *testing.T) {
	t.Run("ends are counted by cause, steps measured", func(t *testing.T) {
		c := qt.New(t)
		var result summary
		c.Assert(json.Unmarshal([]byte(runSummary(c, summaryLog, "--output", "json")), &result), qt.IsNil)
		c.Assert(result, qt.DeepEquals, summary{
			Requests: 3,
			Ends: []endCount{
				{Pipeline: "draft", End: "refused", Cause: "NotRun: the queues of its stages are too long: N", Count: 2},
				{Pipeline: "draft", End: "answered", Count: 1},
			},
			Steps: []stepTime{
				{Pipeline: "draft", Step: "before the call", Count: 1, P50Ms: 310, P99Ms: 310},
				{Pipeline: "draft", Step: "stage 0 in parts", Count: 1, P50Ms: 300, P99Ms: 300},
				{Pipeline: "draft", Step: "to the end", Count: 1, P50Ms: 590, P99Ms: 590},
				{Pipeline: "draft", Step: "to the first event", Count: 1, P50Ms: 90, P99Ms: 90},
			},
		})
	})

	t.Run("each workspace has what it asked for and got", func(t *testing.T) {
		// One workspace sends many times its usual. On-call sees who that is, and whose
		// requests are late or refused for it.
		c := qt.New(t)
		const log = `{"Request":"a","Workspace":"loud","AimMs":500,"AgeMs":0,"message":"admitted"}
{"Request":"a","Pool":"p","Stage":0,"Parts":3,"AgeMs":100,"message":"stage made"}
{"Request":"a","AgeMs":400,"message":"began"}
{"Request":"a","Workspace":"loud","AgeMs":900,"message":"answered"}
{"Request":"b","Workspace":"loud","AgeMs":0,"message":"refused"}
{"Request":"c","Workspace":"quiet","AimMs":500,"AgeMs":0,"message":"admitted"}
{"Request":"c","Pool":"p","Stage":0,"Parts":1,"AgeMs":100,"message":"stage made"}
{"Request":"c","Workspace":"quiet","AgeMs":700,"message":"answered"}
{"Request":"d","Workspace":"quiet","AimMs":500,"AgeMs":0,"message":"admitted"}
`
		var result summary
		c.Assert(json.Unmarshal([]byte(runSummary(c, log, "--output", "json")), &result), qt.IsNil)
		c.Assert(result.Workspaces, qt.DeepEquals, []workspaceUse{
			{
				Workspace: "loud", Requests: 2, OnTime: 1, Refused: 1, WaitP50Ms: 400, WaitP99Ms: 400,
				Pools: map[string]float64{"p": 0.75},
			},
			{
				Workspace: "quiet", Requests: 2, Late: 1, Failed: 1, WaitP50Ms: 700, WaitP99Ms: 700,
				Pools: map[string]float64{"p": 0.25},
			},
		})
		c.Assert(runSummary(c, log), qt.Contains, "WORKSPACE")
	})

	t.Run("the text has both tables", func(t *testing.T) {
		c := qt.New(t)
		c.Assert(runSummary(c, summaryLog), qt.Matches, `(?s)3 requests.*COUNT +PIPELINE.*refused.*STEP.*stage 0 in parts +1 +300 ms.*`)
	})

	t.Run("logs without requests are no error", func(t *testing.T) {
		c := qt.New(t)
		c.Assert(runSummary(c, "nothing"), qt.Contains, "0 requests")
	})
}

func TestSummaryOfRepeats(t *testing.T) {
	// A pool fails, and repeats come from several nodes, none of which sees the others'.
	const log = `{"Node":"n1","Request":"a","Pool":"p","Attempt":1,"time":"2026-12-03T06:00:00Z","message":"sent"}
{"Node":"n1","Request":"a","Pool":"p","Attempt":2,"RepeatOf":"Refused","time":"2026-12-03T06:00:00Z","message":"sent"}
{"Node":"n2","Request":"b","Pool":"p","Attempt":1,"time":"2026-12-03T06:00:08Z","message":"sent"}
{"Node":"n2","Request":"b","Pool":"p","Attempt":2,"RepeatOf":"Refused","time":"2026-12-03T06:00:09Z","message":"sent"}
{"Node":"n2","Request":"b","Pool":"p","Attempt":3,"RepeatOf":"Refused","time":"2026-12-03T06:00:10Z","message":"sent"}
{"Node":"n2","Request":"b","Pool":"p","RepeatOf":"Refused","Budget":{"First":4,"Spent":2,"Left":0,"Slack":7,"Nodes":8},"AgeMs":1,"message":"repeat refused"}
{"Node":"n2","Request":"c","Pool":"q","Attempt":1,"time":"2026-12-03T06:00:10Z","message":"sent"}
`

	t.Run("repeats of all nodes are added up by pool", func(t *testing.T) {
		c := qt.New(t)
		var result summary
		c.Assert(json.Unmarshal([]byte(runSummary(c, log, "--output", "json")), &result), qt.IsNil)
		c.Assert(result.Repeats, qt.DeepEquals, []poolRepeats{{
			Pool: "p", First: 2, Repeats: 3, Refused: 1,
			Peak: 2, PeakFirst: 2, PeakAt: time.Date(2026, 12, 3, 6, 0, 0, 0, time.UTC),
		}})
	})

	t.Run("explain shows the counts that refused a repeat", func(t *testing.T) {
		c := qt.New(t)
		var out bytes.Buffer
		app := New("test")
		app.Stdin, app.Stdout, app.Stderr = strings.NewReader(log), &out, &out
		c.Assert(app.Run(context.Background(), []string{"explain", "b"}), qt.Equals, exitOK)
		c.Assert(out.String(), qt.Contains, "repeat after Refused: 0 left, 2 sent for 4 first calls in the window, 7 of the slack, divided among 8 nodes")
	})
}

func TestSummaryOfNotices(t *testing.T) {
	// An upstream is short of capacity, and another one leaves. Each node hears of it by itself.
	const log = `{"Node":"n1","Upstream":"u1","Pool":"p","Leaving":false,"RestMs":3000,"time":"2026-12-03T06:00:00Z","message":"upstream's notice"}
{"Node":"n2","Upstream":"u1","Pool":"p","Leaving":false,"RestMs":2000,"time":"2026-12-03T06:00:02Z","message":"upstream's notice"}
{"Node":"n2","Upstream":"u0","Pool":"p","Leaving":true,"RestMs":0,"time":"2026-12-03T06:00:05Z","message":"upstream's notice"}
{"Node":"n1","Upstream":"u0","Pool":"p","Leaving":true,"RestMs":0,"time":"2026-12-03T06:00:04Z","message":"upstream's notice"}
`
	at := func(second int) time.Time { return time.Date(2026, 12, 3, 6, 0, second, 0, time.UTC) }

	t.Run("notices of all nodes are added up by upstream", func(t *testing.T) {
		c := qt.New(t)
		var result summary
		c.Assert(json.Unmarshal([]byte(runSummary(c, log, "--output", "json")), &result), qt.IsNil)
		c.Assert(result.Notices, qt.DeepEquals, []upstreamNotices{
			{Upstream: "u0", Pool: "p", LeavingAt: at(4), LeavingNodes: 2},
			{Upstream: "u1", Pool: "p", Rests: 2, RestMs: 5000, RestUntil: at(4)},
		})
	})

	t.Run("the text has a row for each", func(t *testing.T) {
		qt.Assert(t, runSummary(qt.New(t), log), qt.Contains, "06:00:04")
	})
}

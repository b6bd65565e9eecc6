package chutecli

import (
	"bytes"
	"context"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const storyLog = `  0.1 entry-1 {"Node":"n1","Request":"r1","Pool":"engines","Reason":"NotRun: the queue","AgeMs":90,"LeftMs":10,"message":"refused"}
{"Node":"n1","Request":"r1","Pool":"engines","AgeMs":0,"LeftMs":100,"message":"admitted"}
not JSON at all "r1"
{"Node":"n1","Request":"r2","AgeMs":5,"message":"admitted"}
{"Node":"n1","Request":"r1","Pool":"parts","Stage":0,"Reason":"Late","AgeMs":80,"LeftMs":20,"message":"stage not made"}
{"Node":"n1","Request":"r4","Reason":"no pipeline","Version":6,"ConfigAgeMs":1400,"From":"n2","time":"2026-06-25T16:11:43Z","message":"refused"}
{"Node":"n3","Version":16,"time":"2026-06-25T16:11:44Z","message":"configuration in force"}
{"Node":"n1","Version":16,"time":"2026-06-25T16:11:45Z","message":"configuration in force"}
{"Node":"n1","Request":"r5","Resumes":"r1","LastEvent":2,"UpstreamVersion":"v1","From":"n2","RecordAgeMs":70,"Known":true,"message":"take-up"}
{"Node":"n1","Request":"r5","AgeMs":40,"message":"answered"}
{"Node":"n1","Request":"r6","LastEvent":2,"Known":false,"message":"take-up"}
{"Node":"n1","Request":"r6","Kind":"NotRun","Reason":"no node that was asked knows which version began the stream","message":"refused"}
{"Node":"n1","Request":"r1","AgeMs":
`

// runExplain runs the command over the story and returns its exit code and output.
func runExplain(args ...string) (int, string, string) {
	var out, errors bytes.Buffer
	app := New("test")
	app.Stdin, app.Stdout, app.Stderr = strings.NewReader(storyLog), &out, &errors

	return app.Run(context.Background(), append([]string{"explain"}, args...)), out.String(), errors.String()
}

func TestExplain(t *testing.T) {
	t.Run("a request's lines come in order, with the cause at the end", func(t *testing.T) {
		c := qt.New(t)
		code, out, _ := runExplain("r1")
		c.Assert(code, qt.Equals, exitOK)
		c.Assert(out, qt.Matches, `(?s).*admitted.*stage not made.*refused.*`)
		c.Assert(out, qt.Contains, "refused after 90 ms: NotRun: the queue; before that: stage not made in pool parts (Late), 1 times")
		c.Assert(out, qt.Not(qt.Contains), "r2")
	})

	t.Run("a request without an end says so", func(t *testing.T) {
		c := qt.New(t)
		_, out, _ := runExplain("r2")
		c.Assert(out, qt.Contains, "no end is logged")
	})

	t.Run("a refusal by an old configuration says which one, and when the next came", func(t *testing.T) {
		c := qt.New(t)
		_, out, _ := runExplain("r4")
		c.Assert(out, qt.Contains, "by version 6, heard from n2, confirmed 1400 ms before")
		c.Assert(out, qt.Contains, "version 16 came into force there 2s after that")
	})

	t.Run("a take-up leads to the request that began its stream, and back", func(t *testing.T) {
		c := qt.New(t)
		_, out, _ := runExplain("r5")
		c.Assert(out, qt.Contains, "takes up the stream of r1, begun at version v1, known from n2 for 70 ms")
		_, out, _ = runExplain("r1")
		c.Assert(out, qt.Contains, "its stream was taken up by r5")
		_, out, _ = runExplain("r6")
		c.Assert(out, qt.Contains, "takes up a stream that it does not name, whose version no node knew that was asked")
		c.Assert(out, qt.Not(qt.Contains), "no end is logged")
	})

	t.Run("an unknown id is an error that says where to look", func(t *testing.T) {
		c := qt.New(t)
		code, _, errors := runExplain("r3")
		c.Assert(code, qt.Not(qt.Equals), exitOK)
		c.Assert(errors, qt.Contains, "log lines left out")
	})
}

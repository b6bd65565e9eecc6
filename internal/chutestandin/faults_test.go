package chutestandin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/pkg/chuteconfig"
)

func TestFaultsOfPlainCalls(t *testing.T) {
	c := qt.New(t)

	// The caller sees a closed connection each time. The first time nothing was
	// written, the second time the row is there: the caller can't tell which.
	c.Run("Down comes before the write and DropAnswer after it", func(c *qt.C) {
		table := NewTable(TableSettings{})
		url := startServer(c, table) + "/v1/transact"
		setFaults(c, table, Fault{Kind: FaultDown, Count: 1, Stage: "claim"}, Fault{Kind: FaultDropAnswer, Count: 1})
		expectNoAnswer(c, url, insert("claim/a", 0))
		expectKeys(c, table.read(readRequest{}))
		expectNoAnswer(c, url, insert("claim/a", 0))
		expectKeys(c, table.read(readRequest{}), "claim/a")
		c.Assert(expectAnswer[transactReply](c, url, insert("claim/a", 0), http.StatusOK).Committed, qt.IsFalse)
		c.Assert(table.Faults().Rules, qt.HasLen, 0)
	})

	// The caller sees a 500 or half an answer although the call was run, and
	// an explicit refusal when it was not.
	c.Run("Fail and Truncate come after the execution and Refuse before it", func(c *qt.C) {
		service := NewService(ServiceSettings{})
		url := startServer(c, service) + "/v1/run"
		setFaults(c, service, Fault{Kind: FaultFail, Count: 1})
		expectAnswer[errorBody](c, url, testRun("a", "r"), http.StatusInternalServerError)
		setFaults(c, service, Fault{Kind: FaultTruncate, Stage: "enrol"})
		expectNoAnswer(c, url, testRun("b", "r"))
		c.Assert(Summarize(service.Executions()).Completed, qt.Equals, 2)
		setFaults(c, service, Fault{Kind: FaultRefuse, Delay: chuteconfig.Duration(time.Second)})
		refusal := expectAnswer[refusalBody](c, url, testRun("c", "r"), http.StatusServiceUnavailable)
		c.Assert(refusal.RetryAfterMilliseconds, qt.Equals, int64(1000))
		c.Assert(service.Executions(), qt.HasLen, 2)
	})

	// Two callers each see the other's whole answer, because the service
	// swaps the two when both are done; only the attempt id tells.
	c.Run("Cross swaps two answers", func(c *qt.C) {
		service := NewService(ServiceSettings{})
		url := startServer(c, service) + "/v1/run"
		setFaults(c, service, Fault{Kind: FaultCross, Count: 2, Delay: chuteconfig.Duration(time.Minute)})
		calls := []runRequest{testRun("a", "r1"), testRun("b", "r2")}
		answers := make([]runReply, 2)
		var group sync.WaitGroup
		for i := range calls {
			group.Go(func() { answers[i] = expectAnswer[runReply](c, url, calls[i], http.StatusOK) })
		}
		group.Wait()
		c.Assert(answers[0].AttemptID, qt.Equals, "b")
		expectOwnOutput(c, chuteconfig.PoolService, calls[1], answers[0].Output)
		expectOwnOutput(c, chuteconfig.PoolService, calls[0], answers[1].Output)
	})

	c.Run("StaleAttempt names an earlier call", func(c *qt.C) {
		service := NewService(ServiceSettings{})
		url := startServer(c, service) + "/v1/run"
		expectAnswer[runReply](c, url, testRun("a", "r1"), http.StatusOK)
		setFaults(c, service, Fault{Kind: FaultStaleAttempt})
		c.Assert(expectAnswer[runReply](c, url, testRun("b", "r2"), http.StatusOK).AttemptID, qt.Equals, "a")
	})

	c.Run("a rule without a path leaves load reports alone", func(c *qt.C) {
		service := NewService(ServiceSettings{})
		url := startServer(c, service) + "/v1/load"
		setFaults(c, service, Fault{Kind: FaultDropAnswer}, Fault{Kind: FaultDown, Stage: "enrol"})
		resp, err := http.Get(url)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Body.Close(), qt.IsNil)
		setFaults(c, service, Fault{Kind: FaultDropAnswer, Path: "/v1/load"})
		resp, err = http.Get(url)
		if err == nil {
			_ = resp.Body.Close()
		}
		c.Assert(err, qt.IsNotNil)
	})

	c.Run("unknown kinds and fields are refused", func(c *qt.C) {
		url := startServer(c, NewObjects(ObjectsSettings{})) + "/faults"
		for _, body := range []string{`{"Rules":[{"Kind":"Odd"}]}`, `{"Rules":[{"Kind":"Down","Counts":1}]}`} {
			req, err := http.NewRequestWithContext(context.Background(), http.MethodPut, url, bytes.NewReader([]byte(body)))
			c.Assert(err, qt.IsNil)
			resp, err := http.DefaultClient.Do(req)
			c.Assert(err, qt.IsNil)
			c.Assert(resp.Body.Close(), qt.IsNil)
			c.Assert(resp.StatusCode, qt.Equals, http.StatusBadRequest)
		}
	})
}

func TestFaultsOfStreams(t *testing.T) {
	c := qt.New(t)
	length := ExpectedLength("tank", testTokens)
	tests := []struct {
		kind    FaultKind
		offsets []int
		clean   bool
		done    bool
	}{
		{FaultTruncate, span(0, 4), true, false},
		{FaultBreak, span(0, 4), false, false},
		{FaultGap, append(span(0, 4), span(5, length)...), true, true},
		{FaultDuplicate, append(span(0, 5), span(4, length)...), true, true},
		{FaultOverlap, append(span(0, 4), span(1, length)...), true, true},
	}
	for _, test := range tests {
		c.Run(string(test.kind), func(c *qt.C) {
			engine := NewEngine(EngineSettings{})
			url := startServer(c, engine)
			setFaults(c, engine, Fault{Kind: test.kind, Offset: 4, Count: 1})
			frames, clean := readStream(c, url, testCall("a", "tank"))
			c.Assert(offsets(frames), qt.DeepEquals, test.offsets)
			c.Assert(clean, qt.Equals, test.clean)
			c.Assert(frames[len(frames)-1].Done, qt.Equals, test.done)
			frames, _ = readStream(c, url, testCall("b", "tank"))
			expectWhole(c, frames, "tank", "", 0)
		})
	}

	// Each caller gets its own first tokens and then the other's, with the
	// other's attempt id, because the engine mixes two streams up midway.
	c.Run("Cross swaps two streams midway", func(c *qt.C) {
		engine := NewEngine(EngineSettings{})
		url := startServer(c, engine)
		setFaults(c, engine, Fault{Kind: FaultCross, Offset: 4, Count: 2, Delay: chuteconfig.Duration(time.Minute)})
		answers := make([][]frame, 2)
		var group sync.WaitGroup
		for i, call := range []generateRequest{testCall("a", "tank"), testCall("b", "course")} {
			group.Go(func() { answers[i], _ = readStream(c, url, call) })
		}
		group.Wait()
		c.Assert(answers[0][3].AttemptID, qt.Equals, "a")
		c.Assert(answers[0][4].AttemptID, qt.Equals, "b")
		c.Assert(answers[0][4].Text, qt.Equals, ExpectedToken("course", 4))
	})
}

// The caller's stream stops without an end: the connection that it runs on goes
// silent, so that neither tokens nor a close arrive. A new connection to the
// same engine works, and a graceful end is not held up by the silent one.
func TestSilentConnections(t *testing.T) {
	c := qt.New(t)
	engine := NewEngine(EngineSettings{})
	url := startServer(c, engine)
	setFaults(c, engine, Fault{Kind: FaultStall, Offset: 2, Count: 1})
	encoded, err := json.Marshal(testCall("a", "tank"))
	c.Assert(err, qt.IsNil)
	resp, err := http.Post(url+"/v1/generate", "application/json", bytes.NewReader(encoded))
	c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()

	setFaults(c, engine, Fault{Kind: FaultSilent})
	fresh, _ := readStream(c, url, testCall("b", "tank"))
	expectWhole(c, fresh, "tank", "", 0)
	expectAnswer[struct{}](c, url+"/v1/cancel", cancelRequest{AttemptID: "a"}, http.StatusOK)
	for !engine.Idle() {
		time.Sleep(time.Millisecond)
	}

	// The engine ended the stream, and on a working connection its end would have arrived before the close.
	engine.closeSilent()
	frames, clean := readFrames(c, resp.Body)
	c.Assert(len(frames) <= 2, qt.IsTrue)
	c.Assert(clean, qt.IsFalse)
	c.Assert(engine.conns.silentCount(), qt.Equals, 0)
}

package chutestandin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"azurechute.example/azurechute/internal/chuteprompt"
	"azurechute.example/azurechute/internal/chuterequest"
)

const testTokens = 20

func testCall(attempt, prompt string) generateRequest {
	return generateRequest{
		callHead: callHead{AttemptID: attempt, RequestID: "r-" + attempt, Stage: "draft"},
		Prompt:   prompt, MaxTokens: testTokens,
	}
}

// expectWhole checks that the frames from an offset on are the prompt's answer, once each, with a true last frame.
func expectWhole(c *qt.C, frames []frame, prompt, resumed string, from int) {
	c.Helper()
	length := ExpectedLength(prompt, testTokens)
	c.Assert(offsets(frames), qt.DeepEquals, span(from, length))
	text := resumed
	for _, f := range frames {
		text += f.Text
	}
	c.Assert(text, qt.Equals, ExpectedText(prompt, testTokens))
	last := frames[len(frames)-1]
	c.Assert(last.Done, qt.IsTrue)
	c.Assert(last.Length, qt.Equals, length)
	c.Assert(last.Digest, qt.Equals, chuteprompt.Digest(text))
}

func TestEngineStream(t *testing.T) {
	c := qt.New(t)

	c.Run("any engine resumes another's stream at any offset", func(c *qt.C) {
		url := startServer(c, NewEngine(EngineSettings{}))
		for from := range ExpectedLength("tank", testTokens) + 1 {
			req := testCall("a", "tank")
			req.ResumeOffset = from
			req.ResumeText = newTokenSource("tank", testTokens).text(0, from)
			frames, clean := readStream(c, url, req)
			c.Assert(clean, qt.IsTrue)
			expectWhole(c, frames, "tank", req.ResumeText, from)
		}
	})

	c.Run("lengths lie between half and all of MaxTokens", func(c *qt.C) {
		for _, prompt := range strings.Fields("a b c d e f g h i j k l m n o p") {
			length := ExpectedLength(prompt, testTokens)
			c.Assert(length >= testTokens/2 && length <= testTokens, qt.IsTrue)
			c.Assert(ExpectedLength(prompt, 1), qt.Equals, 1)
		}
	})

	c.Run("a cached prefix is not computed again", func(c *qt.C) {
		engine := NewEngine(EngineSettings{})
		url := startServer(c, engine)
		prefix := strings.Repeat("x", 2*chuteprompt.BlockBytes)
		first, _ := readStream(c, url, testCall("a", prefix+"one"))
		second, _ := readStream(c, url, testCall("b", prefix+"two"))
		c.Assert(first[len(first)-1].CachedUnits, qt.Equals, int64(0))
		c.Assert(second[len(second)-1].CachedUnits, qt.Equals, int64(128))
		c.Assert(second[len(second)-1].PromptUnits, qt.Equals, int64(1))
		c.Assert(Summarize(engine.Executions()).CachedUnits, qt.Equals, int64(128))
	})

	c.Run("cancel ends a running stream and leaves it uncompleted in the log", func(c *qt.C) {
		engine := NewEngine(EngineSettings{})
		url := startServer(c, engine)
		setFaults(c, engine, Fault{Kind: FaultStall, Offset: 3})
		encoded, err := json.Marshal(testCall("a", "tank"))
		c.Assert(err, qt.IsNil)
		resp, err := http.Post(url+"/v1/generate", "application/json", bytes.NewReader(encoded))
		c.Assert(err, qt.IsNil)
		defer func() { _ = resp.Body.Close() }()
		expectAnswer[struct{}](c, url+"/v1/cancel", cancelRequest{AttemptID: "a"}, http.StatusOK)
		frames, _ := readFrames(c, resp.Body)
		c.Assert(len(frames) <= 3, qt.IsTrue)
		c.Assert(engine.Executions()[0].Completed, qt.IsFalse)
	})
}

func TestSlotsGoByPriority(t *testing.T) {
	c := qt.New(t)
	s := &slots{size: 1, bound: 2, changed: func(int, int) {}}
	c.Assert(s.acquire(context.Background(), 0), qt.IsNil)
	order := make(chan int, 2)
	for waiting, priority := range []int{1, 5} {
		go func() {
			if s.acquire(context.Background(), priority) == nil {
				order <- priority
			}
		}()
		for _, n := s.counts(); n <= waiting; _, n = s.counts() {
			time.Sleep(time.Millisecond)
		}
	}
	c.Assert(s.acquire(context.Background(), 9), qt.Equals, errQueueFull)
	s.release()
	c.Assert(<-order, qt.Equals, 5)
	s.release()
	c.Assert(<-order, qt.Equals, 1)
}

func TestEngineOrders(t *testing.T) {
	c := qt.New(t)
	newer := orderRequest{FencingNumber: 3, Model: "m", Version: "2", Role: "Decode"}
	older := orderRequest{FencingNumber: 2, Model: "m", Version: "1"}

	c.Run("an old fencing number is refused where it is honoured", func(c *qt.C) {
		url := startServer(c, NewEngine(EngineSettings{HonourFencing: true})) + "/v1/orders"
		expectAnswer[chuterequest.Load](c, url, newer, http.StatusOK)
		c.Assert(expectAnswer[fencedBody](c, url, older, http.StatusConflict).FencingNumber, qt.Equals, uint64(3))
	})

	c.Run("an old fencing number is obeyed where it is ignored", func(c *qt.C) {
		engine := NewEngine(EngineSettings{HonourFencing: true})
		url := startServer(c, engine) + "/v1/orders"
		expectAnswer[chuterequest.Load](c, url, newer, http.StatusOK)
		setFaults(c, engine, Fault{Kind: FaultIgnoreFencing})
		c.Assert(expectAnswer[chuterequest.Load](c, url, older, http.StatusOK).Version, qt.Equals, "1")
	})

	c.Run("the weight store's rate bounds loads, not repeats", func(c *qt.C) {
		engine := NewEngine(EngineSettings{OrdersPerMinute: 1, UpstreamSettings: UpstreamSettings{Clock: clockwork.NewFakeClock()}})
		url := startServer(c, engine) + "/v1/orders"
		expectAnswer[chuterequest.Load](c, url, older, http.StatusOK)
		expectAnswer[chuterequest.Load](c, url, older, http.StatusOK)
		expectAnswer[errorBody](c, url, newer, http.StatusTooManyRequests)
	})

	c.Run("a call for another version is refused and not run", func(c *qt.C) {
		engine := NewEngine(EngineSettings{Model: "m", Version: "1"})
		req := testCall("a", "tank")
		req.Model, req.Version = "m", "2"
		c.Assert(expectAnswer[refusalBody](c, startServer(c, engine)+"/v1/generate", req, http.StatusServiceUnavailable).Refused, qt.IsTrue)
		c.Assert(engine.Executions(), qt.HasLen, 0)
	})
}

func TestCacheEvents(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(100, 0)
	never := func() bool { return false }

	c.Run("a prefix is evicted from its end", func(c *qt.C) {
		cache := newPrefixCache(3)
		cache.add([]uint64{1, 2, 3}, start, never)
		cache.add([]uint64{9}, start, never)
		c.Assert(cache.cached([]uint64{1, 2, 3}), qt.Equals, 2)
		events, next := cache.since(4, start)
		c.Assert(events, qt.HasLen, 1)
		c.Assert(events[0].Op, qt.Equals, cacheEvict)
		c.Assert(events[0].Block, qt.Equals, "0000000000000003")
		c.Assert(next, qt.Equals, uint64(5))
	})

	c.Run("events are late, and a loss shows as a gap", func(c *qt.C) {
		cache := newPrefixCache(9)
		cache.add([]uint64{1}, start, never)
		cache.add([]uint64{2}, start, func() bool { return true })
		cache.add([]uint64{3}, start.Add(time.Second), never)
		_, next := cache.since(0, start)
		c.Assert(next, qt.Equals, uint64(1))
		events, _ := cache.since(next, start.Add(time.Second))
		c.Assert(events[0].Seq, qt.Equals, uint64(3))
	})
}

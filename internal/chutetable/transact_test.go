package chutetable

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/samber/oops"
)

func TestTransactAnswers(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{"committed", 200, committed, nil},
		{"lost race", 200, lostRace, nil},
		{"too many", 429, "", ErrNotWritten},
		{"unavailable", 503, "", ErrNotWritten},
		{"server error", 500, committed, ErrOutcomeUnknown},
		{"bad gateway", 502, "", ErrOutcomeUnknown},
		{"client error", 400, "", ErrOutcomeUnknown},
		{"cut JSON", 200, committed[:40], ErrOutcomeUnknown},
		// An answer without the word must not read as a lost race.
		{"no word", 200, strings.Replace(lostRace, "Committed", "Com", 1), ErrOutcomeUnknown},
		{"empty answer", 200, `{}`, ErrOutcomeUnknown},
		{"crossed commit", 200, `{"Committed": true, "Rows": [{"Key": "x", "Version": 3}]}`, ErrOutcomeUnknown},
		{"crossed failure", 200, `{"Committed": false, "Rows": [{"Key": "x", "Version": 3}]}`, ErrOutcomeUnknown},
		{"failure without a failed condition", 200, `{"Committed": false, "Rows": []}`, ErrOutcomeUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			client := newClient(c, answering(c, test.status, test.body).URL, clockwork.NewRealClock())
			expectTransact(c, client, "claim", test.want)
		})
	}
}

func TestTransactReply(t *testing.T) {
	c := quicktest.New(t)
	var sent string
	s := newServer(c, func(w http.ResponseWriter, r *http.Request, _ int64) {
		sent = r.Header.Get("Test-Body")
		_, _ = io.WriteString(w, committed)
	})
	reply, err := newClient(c, s.URL, clockwork.NewRealClock()).Transact(c.Context(), "claim", testTransaction)
	c.Assert(err, quicktest.IsNil)
	row, ok := reply.Row("claim/w/r")
	c.Assert(reply.Committed && ok, quicktest.IsTrue)
	c.Assert(row.Version, quicktest.Equals, uint64(7))
	c.Assert(sent, quicktest.JSONEquals, testTransaction)
	c.Assert(sent, quicktest.Contains, "<a>")
}

func TestErrorNamesStepAndPeer(t *testing.T) {
	c := quicktest.New(t)
	s := answering(c, 503, "")
	_, err := newClient(c, s.URL, clockwork.NewRealClock()).Transact(c.Context(), "claim", testTransaction)
	c.Assert(RetryAfter(err), quicktest.Equals, 3*time.Second)
	detail, ok := oops.AsOops(err)
	c.Assert(ok, quicktest.IsTrue)
	c.Assert(detail.Context()["step"], quicktest.Equals, "claim")
	c.Assert(detail.Context()["peer"], quicktest.Equals, s.URL)
	c.Assert(metricFailures.Get("claim").String(), quicktest.Not(quicktest.Equals), "0")
}

func TestDialFailureIsCertain(t *testing.T) {
	c := quicktest.New(t)
	s := answering(c, 200, committed)
	s.Close()
	expectTransact(c, newClient(c, s.URL, clockwork.NewRealClock()), "claim", ErrNotWritten)
}

// The table applies the write and then closes the reused connection without an
// answer. Were the request sent again on a new connection, its condition would
// fail on its own first effect, and the claimer would hear that another won: the
// request that it holds would never run. It must be sent once and be unknown.
func TestCutAfterEffectIsNotReplayed(t *testing.T) {
	c := quicktest.New(t)
	s := newServer(c, func(w http.ResponseWriter, _ *http.Request, n int64) {
		switch n {
		case 1:
			_, _ = io.WriteString(w, committed)
		case 2:
			cut(w)
		default:
			_, _ = io.WriteString(w, lostRace)
		}
	})
	client := newClient(c, s.URL, clockwork.NewRealClock())
	expectTransact(c, client, "claim", nil)
	expectTransact(c, client, "claim", ErrOutcomeUnknown)
	c.Assert(s.requests.Load(), quicktest.Equals, int64(2))
}

// Reads change nothing, so a connection that ends before the answer costs a read
// no failure: net/http may send it again.
func TestReadIsReplayed(t *testing.T) {
	c := quicktest.New(t)
	s := newServer(c, func(w http.ResponseWriter, _ *http.Request, n int64) {
		if n == 2 {
			cut(w)
			return
		}
		_, _ = io.WriteString(w, `{"Rows": null}`)
	})
	client := newClient(c, s.URL, clockwork.NewRealClock())
	for range 2 {
		_, err := client.Read(c.Context(), "status", "claim/w/r")
		c.Assert(err, quicktest.IsNil)
	}
	c.Assert(s.requests.Load(), quicktest.Equals, int64(3))
}

// Something on the way has applied the write and redirects to a page that answers
// 503. Followed, the redirect would make that the write's answer, which would be
// told as certainly not written, and its request as not run, though it was claimed.
func TestRedirectIsNotFollowed(t *testing.T) {
	for _, status := range []int{http.StatusFound, http.StatusTemporaryRedirect} {
		c := quicktest.New(t)
		elsewhere := answering(c, 503, "")
		s := newServer(c, func(w http.ResponseWriter, r *http.Request, _ int64) {
			http.Redirect(w, r, elsewhere.URL, status)
		})
		expectTransact(c, newClient(c, s.URL, clockwork.NewRealClock()), "claim", ErrOutcomeUnknown)
	}
}

// A device on the way forgets the two idle connections: what is sent on them is
// never answered. The first call runs into its timeout; the second must not try
// the other silent connection, but a new one, which works.
func TestSilentConnectionsAreDropped(t *testing.T) {
	c := quicktest.New(t)
	var mu sync.Mutex
	known := map[string]bool{}
	both := make(chan struct{})
	s := newServer(c, func(w http.ResponseWriter, r *http.Request, n int64) {
		mu.Lock()
		silent := known[r.RemoteAddr]
		known[r.RemoteAddr] = true
		mu.Unlock()
		switch {
		case n == 2:
			close(both)
		case n == 1:
			<-both
		case silent && n == 3:
			<-r.Context().Done()
			return
		case silent:
			cut(w) // in place of a silence that would hang the test
			return
		}
		_, _ = io.WriteString(w, committed)
	})
	clock := clockwork.NewFakeClock()
	client := newClient(c, s.URL, clock)
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { expectTransact(c, client, "claim", nil) })
	}
	wg.Wait()
	wg.Go(func() { expectTransact(c, client, "claim", ErrOutcomeUnknown) })
	c.Assert(clock.BlockUntilContext(c.Context(), 1), quicktest.IsNil)
	for s.requests.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	clock.Advance(DefaultTimeout)
	wg.Wait()
	expectTransact(c, client, "claim", nil)
}

// The ledger's flushes have used up their allowance. Claims must go out all the
// same, and a flush that can't go out before its deadline is certainly not sent.
func TestBackgroundWritesDelayNoClaim(t *testing.T) {
	c := quicktest.New(t)
	s := answering(c, 200, committed)
	cfg := Settings{
		TableURL: s.URL, WritesPerSecond: 10,
		BackgroundSteps: []string{"flush"}, BackgroundWritesPerSecond: 0.001,
	}
	client := newClientOf(c, cfg, clockwork.NewFakeClockAt(time.Now()))
	expectTransact(c, client, "flush", nil)
	ctx, cancel := context.WithTimeout(c.Context(), time.Minute)
	defer cancel()
	_, err := client.Transact(ctx, "flush", testTransaction)
	c.Assert(err, quicktest.ErrorIs, ErrNotWritten)
	expectTransact(c, client, "claim", nil)
	c.Assert(s.requests.Load(), quicktest.Equals, int64(2))
}

func TestWaitForAllowance(t *testing.T) {
	c := quicktest.New(t)
	clock := clockwork.NewFakeClock()
	a := newAllowance(1, clock)
	c.Assert(a.wait(c.Context()), quicktest.IsNil)
	done := make(chan error, 1)
	go func() { done <- a.wait(c.Context()) }()
	c.Assert(clock.BlockUntilContext(c.Context(), 1), quicktest.IsNil)
	ctx, cancel := context.WithCancel(c.Context())
	cancel()
	c.Assert(a.wait(ctx), quicktest.ErrorIs, context.Canceled)
	clock.Advance(time.Second)
	c.Assert(<-done, quicktest.IsNil)
}

package chuteupstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"azurechute.example/azurechute/internal/chuterequest"
)

func serveStatus(t *testing.T, status int, body string) string {
	return serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		io.WriteString(w, body)
	})
}

func TestLoad(t *testing.T) {
	client := newTestClient(t, clockwork.NewFakeClock())
	load, err := client.Load(context.Background(), serveStatus(t, 200, `{"Incarnation":"i1","InFlight":2,"Slots":4,"Leaving":true}`))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, load, qt.Equals, chuterequest.Load{Incarnation: "i1", InFlight: 2, Slots: 4, Leaving: true})
	_, err = client.Load(context.Background(), serveStatus(t, 500, "no"))
	qt.Check(t, err, qt.ErrorMatches, "unexpected status 500: no")
}

// The poller must not hang on an upstream that went silent.
func TestSilentLoad(t *testing.T) {
	clock := clockwork.NewFakeClock()
	address, arrived, _ := silentServer(t)
	client := newTestClient(t, clock)
	failed := make(chan error, 1)
	go func() {
		_, err := client.Load(context.Background(), address)
		failed <- err
	}()
	receive(t, arrived)
	clock.Advance(client.ControlTimeout)
	qt.Check(t, receive(t, failed), qt.ErrorIs, context.DeadlineExceeded)
}

func TestCacheEvents(t *testing.T) {
	client := newTestClient(t, clockwork.NewFakeClock())
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"Next":8,"Events":[{"Seq":7,"Op":"Add","Block":"00ff00000000000a"},{"Seq":8,"Op":"Evict","Block":"%016x"}]}`, len(r.URL.Query().Get("after")))
	})
	events, next, err := client.CacheEvents(context.Background(), address, 6)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, events, qt.DeepEquals, []CacheEvent{{Seq: 7, Add: true, Block: 0x00ff00000000000a}, {Seq: 8, Block: 1}})
	qt.Check(t, next, qt.Equals, uint64(8))
	qt.Check(t, HasGap(6, events, next), qt.IsFalse)
	qt.Check(t, HasGap(5, events, next), qt.IsTrue)
	qt.Check(t, HasGap(6, events, 9), qt.IsTrue, qt.Commentf("lost at the end"))
	qt.Check(t, HasGap(6, nil, 3), qt.IsTrue, qt.Commentf("the engine started anew"))
	_, _, err = client.CacheEvents(context.Background(), serveStatus(t, 200, `{"Events":[{"Op":"Grow","Block":"1"}]}`), 0)
	qt.Check(t, err, qt.ErrorMatches, `unknown Op "Grow"`)
}

func TestOrder(t *testing.T) {
	tests := []struct {
		status int
		body   string
		want   error
	}{
		{status: http.StatusOK, body: `{"Model":"reef","FencingNumber":4}`},
		{status: http.StatusConflict, body: `{"Error":"old","FencingNumber":9}`, want: ErrFenced},
		{status: http.StatusTooManyRequests, want: ErrRateLimited},
		{status: http.StatusInternalServerError, want: errStatus},
	}
	for _, test := range tests {
		t.Run(http.StatusText(test.status), func(t *testing.T) {
			client := newTestClient(t, clockwork.NewFakeClock())
			load, err := client.Order(context.Background(), serveStatus(t, test.status, test.body), Order{FencingNumber: 4, Model: "reef"})
			if test.want != nil {
				qt.Assert(t, err, qt.ErrorIs, test.want)

				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, load.Model, qt.Equals, "reef")
		})
	}
}

// An engine that ignores fencing must not get an order after its lease lapsed.
// The order is stuck when its context ends; a plain close would leave it with
// the kernel to deliver later, so the engine must see a reset.
func TestOrderIsResetWhenGivenUp(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	seen := make(chan error, 1)
	address := serveRaw(t, func(conn net.Conn, _ int) {
		defer conn.Close()
		readRequest(conn)
		cancel()
		_, err := conn.Read(make([]byte, 1))
		seen <- err
	})
	_, err := newTestClient(t, clockwork.NewFakeClock()).Order(ctx, address, Order{FencingNumber: 4})
	qt.Check(t, err, qt.ErrorIs, context.Canceled)
	qt.Check(t, receive(t, seen), qt.ErrorMatches, ".*connection reset by peer")
}

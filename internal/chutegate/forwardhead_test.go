package chutegate

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"azurechute.example/azurechute/internal/chuteanswer"
	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteshare"
)

// Guards against a malformed head that a node of an earlier build passes on from an upstream.
func TestMalformedForwardedHead(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		header http.Header
	}{
		{"no status", 0, nil},
		{"a status over 599", 600, nil},
		{"a blank in a name", 200, http.Header{"A B": {"x"}}},
		{"a NUL in a value", 200, http.Header{"A": {"x\x00"}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			peer := chuteshare.NewServer(chuteshare.Handlers{OnForward: func(_ context.Context, _ chuteshare.ForwardRequest, out chuteshare.ForwardOutput) {
				c.Check(errors.Join(out.Begin(test.status, test.header), out.End()), qt.IsNil)
			}})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			go func() { _ = peer.Serve(l) }()
			defer peer.Stop()
			n := New(Settings{}, clockwork.NewRealClock(), zerolog.Nop(), Store{}, Decoders{}, Upstreams{})
			a := &attempt{node: n, request: newTestRequest(), send: chuterelay.Send{Peer: chuterelay.Peer{Name: "n2", Address: l.Addr().String()}}}
			_, refusal, err := a.forwardExchange(c.Context())
			c.Assert(refusal, qt.IsNil)
			c.Assert(err, qt.ErrorIs, chuteanswer.ErrMalformed)
			c.Assert(asSendError(err).Unsent, qt.IsFalse)
		})
	}
}

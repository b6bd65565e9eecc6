package chuteshare

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"

	"azurechute.example/azurechute/internal/chutestream"
)

func newForwardRequest() ForwardRequest {
	return ForwardRequest{
		ID: "r", Host: "h.example", Method: http.MethodPost, URI: "/a/b?c", Path: "/a/b", Header: http.Header{"X-A": {"1", "2"}},
		Body: bytes.Repeat([]byte("b"), 100_000), Key: "k", Wait: 3 * time.Second, LastEventID: -1, Affinity: "s", PromptTokens: 7,
		PromptParts: []string{"a", "b"},
		Parts:       []int{1, 0, 2}, PartKey: "p", Left: 2 * time.Second, Waited: 40 * time.Millisecond, PossibleRuns: 1, ConfigVersion: 9,
		Node: "n1", Counted: true, MaxOutputTokens: 512, OutputHint: 300, SharedTokens: 5,
	}
}

func TestForward(t *testing.T) {
	t.Run("a request arrives as sent, and its answer as given", func(t *testing.T) {
		c := qt.New(t)
		s := startServer(t)
		received := make(chan ForwardRequest, 1)
		body := bytes.Repeat([]byte("out "), 50_000)
		s.forward = func(_ context.Context, request ForwardRequest, out ForwardOutput) {
			received <- request
			c.Check(errors.Join(out.Begin(201, http.Header{"X-B": {"3"}}), out.Write(body), out.End()), qt.IsNil)
		}
		answer, err := newClient(t).Forward(context.Background(), s.address, newForwardRequest(), true)
		c.Assert(err, qt.IsNil)
		c.Assert(<-received, qt.DeepEquals, newForwardRequest())
		c.Assert(answer.Status, qt.Equals, 201)
		c.Assert(answer.Header, qt.DeepEquals, http.Header{"X-B": {"3"}})
		got, err := io.ReadAll(answer.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(bytes.Equal(got, body), qt.IsTrue)
		c.Assert(answer.Body.Close(), qt.IsNil)
	})

	t.Run("a binding arrives in both directions", func(t *testing.T) {
		c := qt.New(t)
		s := startServer(t)
		bound := chutestream.Binding{Pool: "p", Version: "v1", Upstream: "u"}
		s.forward = func(_ context.Context, request ForwardRequest, out ForwardOutput) {
			c.Check(request.Binding, qt.Equals, bound)
			c.Check(errors.Join(out.BeginStream(200, http.Header{}, bound), out.End()), qt.IsNil)
		}
		request := newForwardRequest()
		request.Binding = bound
		answer, err := newClient(t).Forward(context.Background(), s.address, request, true)
		c.Assert(err, qt.IsNil)
		c.Assert(answer.Binding, qt.Equals, bound)
		c.Assert(answer.Body.Close(), qt.IsNil)
	})

	t.Run("a refusal is returned with its reason", func(t *testing.T) {
		c := qt.New(t)
		s := startServer(t)
		want := ForwardRefusal{Kind: "NotRun", Reason: "no room", RetryAfter: time.Second, Elsewhere: true}
		s.forward = func(_ context.Context, _ ForwardRequest, out ForwardOutput) { c.Check(out.Refuse(want), qt.IsNil) }
		answer, err := newClient(t).Forward(context.Background(), s.address, newForwardRequest(), true)
		c.Assert(err, qt.IsNil)
		c.Assert(*answer.Refusal, qt.Equals, want)
	})

	t.Run("a caller that leaves ends the request", func(t *testing.T) {
		s := startServer(t)
		ended := make(chan struct{})
		ctx, cancel := context.WithCancel(context.Background())
		s.forward = func(requestCtx context.Context, _ ForwardRequest, _ ForwardOutput) {
			cancel()
			<-requestCtx.Done()
			close(ended)
		}
		_, err := newClient(t).Forward(ctx, s.address, newForwardRequest(), true)
		qt.Assert(t, err, qt.IsNotNil)
		<-ended
	})
}

// Guards against a peer that counts as silent because the caller reads slowly.
func TestForwardToSlowCaller(t *testing.T) {
	c := qt.New(t)
	s := startServer(t)
	reading := make(chan struct{})
	s.forward = func(_ context.Context, _ ForwardRequest, out ForwardOutput) {
		c.Check(out.BeginStream(200, http.Header{}, chutestream.Binding{}), qt.IsNil)
		<-reading
		c.Check(errors.Join(out.Write([]byte("id: 1\n\n")), out.End()), qt.IsNil)
	}
	answer, err := newClient(t).Forward(context.Background(), s.address, newForwardRequest(), true)
	c.Assert(err, qt.IsNil)
	time.Sleep(keepaliveTimeout + keepaliveTimeout/4)
	close(reading)
	body, err := io.ReadAll(answer.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(body), qt.Equals, "id: 1\n\n")
}

// Guards against an answer that is taken for whole although the peer has broken it off.
func TestForwardBrokenOff(t *testing.T) {
	for name, end := range map[string]func(out ForwardOutput){
		"without an end": func(ForwardOutput) {},
		"with a refusal": func(out ForwardOutput) { _ = out.Refuse(ForwardRefusal{Kind: "Failed", Reason: "broken off"}) },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := startServer(t)
			s.forward = func(_ context.Context, _ ForwardRequest, out ForwardOutput) {
				c.Check(errors.Join(out.BeginStream(200, http.Header{}, chutestream.Binding{}), out.Write([]byte("id: 1\n\n"))), qt.IsNil)
				end(out)
			}
			answer, err := newClient(t).Forward(context.Background(), s.address, newForwardRequest(), true)
			c.Assert(err, qt.IsNil)
			_, err = io.ReadAll(answer.Body)
			var failure *ForwardError
			c.Assert(errors.As(err, &failure), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(failure.Unsent, qt.IsFalse)
		})
	}
}

// Guards against a request that counts as run although no peer can have received it.
func TestForwardUnsent(t *testing.T) {
	expectUnsent := func(t *testing.T, address string) {
		t.Helper()
		_, err := newClient(t).Forward(context.Background(), address, newForwardRequest(), false)
		var failure *ForwardError
		qt.Assert(t, errors.As(err, &failure), qt.IsTrue, qt.Commentf("%v", err))
		qt.Assert(t, failure.Unsent, qt.IsTrue)
	}

	t.Run("nobody listens", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		address := l.Addr().String()
		qt.Assert(t, l.Close(), qt.IsNil)
		expectUnsent(t, address)
	})

	t.Run("a peer of an earlier build", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		server := grpc.NewServer()
		go func() { _ = server.Serve(l) }()
		t.Cleanup(server.Stop)
		expectUnsent(t, l.Addr().String())
	})
}

package chuteupstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"azurechute.example/azurechute/internal/chuteprompt"
	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

const ours = chuterequest.AttemptID("n1-7")

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func newTestClient(t testing.TB, clock clockwork.Clock) *Client {
	t.Helper()
	client := New(clock, zerolog.Nop())
	t.Cleanup(client.Close)

	return client
}

// serve returns the address of a server that is closed with its open connections.
//
// The body is read first, because only then does net/http notice a client that leaves.
func serve(t testing.TB, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		handler(w, r)
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})

	return server.Listener.Addr().String()
}

// serveRaw runs a server that gets each connection by itself; n counts them from 1.
func serveRaw(t *testing.T, handle func(conn net.Conn, n int)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { hangUp(listener) })
	go func() {
		for n := 1; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(conn, n)
		}
	}()

	return listener.Addr().String()
}

// readRequest returns false when the client has closed the connection.
func readRequest(conn net.Conn) bool {
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, r.Body)

	return err == nil
}

// send writes to a client that may have left; what the client makes of it is tested there.
func send(w io.Writer, text string) {
	_, _ = io.WriteString(w, text)
}

// hangUp closes a connection that the client may have closed already.
func hangUp(conn io.Closer) {
	_ = conn.Close()
}

func answerRaw(conn net.Conn) {
	body := plainBody(ours)
	send(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
}

func plainBody(attempt chuterequest.AttemptID) string {
	return fmt.Sprintf(`{"AttemptID":%q,"Output":{"Rank":[2,1]},"Units":3,"Load":{"Incarnation":"i1","Slots":4}}`, attempt)
}

func tokenFrame(attempt chuterequest.AttemptID, offset int, text string) string {
	return fmt.Sprintf("data: {\"AttemptID\":%q,\"Offset\":%d,\"Text\":%q}\n\n", attempt, offset, text)
}

func lastFrame(length int, text string, units int) string {
	return fmt.Sprintf("data: {\"AttemptID\":%q,\"Done\":true,\"Length\":%d,\"Digest\":%q,\"Units\":%d,\"PromptUnits\":8,\"CachedUnits\":5}\n\n",
		ours, length, chuteprompt.Digest(text), units)
}

// writeFrames sends each frame at once.
func writeFrames(w http.ResponseWriter, frames ...string) {
	w.Header().Set("Content-Type", "text/event-stream")
	for _, frame := range frames {
		send(w, frame)
	}
	w.(http.Flusher).Flush()
}

// serveFrames answers /v1/generate with the frames and /v1/cancel by reporting the attempt.
func serveFrames(t testing.TB, cancelled chan<- string, frames ...string) string {
	return serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == cancelPath {
			noteCancel(r, cancelled)

			return
		}
		writeFrames(w, frames...)
	})
}

func noteCancel(r *http.Request, cancelled chan<- string) {
	var body struct{ AttemptID string }
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		body.AttemptID = err.Error()
	}
	select {
	case cancelled <- body.AttemptID:
	default:
	}
}

func plainCall(address string) Call {
	return Call{Attempt: ours, Address: address, Kind: chuteconfig.PoolReranker, Input: json.RawMessage(`{"Query":"pH"}`)}
}

func streamCall(address string) Call {
	return Call{Attempt: ours, Address: address, Kind: chuteconfig.PoolEngine, Prompt: "Diagnose", MaxTokens: 20}
}

// receive fails the test if nothing comes for long.
func receive[T any](t *testing.T, ch <-chan T) T {
	t.Helper()
	select {
	case value := <-ch:
		return value
	case <-time.After(20 * time.Second):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}

type runEnd struct {
	result  Result
	failure *chuterequest.Failure
}

func runInBackground(ctx context.Context, client *Client, call Call, onToken func(Token)) <-chan runEnd {
	ended := make(chan runEnd, 1)
	go func() {
		result, failure := client.Run(ctx, call, onToken)
		ended <- runEnd{result, failure}
	}()

	return ended
}

func expectFailure(t testing.TB, failure *chuterequest.Failure, kind chuterequest.FailureKind, notTaken bool) {
	t.Helper()
	qt.Assert(t, failure, qt.IsNotNil)
	qt.Check(t, failure.Kind, qt.Equals, kind, qt.Commentf("%s", failure.Detail))
	qt.Check(t, failure.NotTaken, qt.Equals, notTaken, qt.Commentf("%s", failure.Detail))
}

func expectAnswered(t testing.TB, result Result, failure *chuterequest.Failure) {
	t.Helper()
	qt.Assert(t, failure, qt.IsNil)
	qt.Check(t, string(result.Output), qt.Equals, `{"Rank":[2,1]}`)
	qt.Check(t, result.Usage.Units, qt.Equals, int64(3))
}

func join(tokens []Token) string {
	var out strings.Builder
	for _, token := range tokens {
		fmt.Fprintf(&out, "%d:%s ", token.Offset, token.Text)
	}

	return out.String()
}

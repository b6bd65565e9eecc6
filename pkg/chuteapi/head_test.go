package chuteapi

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chuteanswer"
)

// malformed answers with a whole answer in whose head the name of a field is no token.
func malformed(w http.ResponseWriter, _ *http.Request) {
	conn, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	body := fmt.Sprintf(`{"RequestID":"r1","Outcome":"Answered","Output":"a","Length":1,"Digest":%q}`, digestOf([]byte("a")))
	_, _ = fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nA B: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	_ = out.Flush()
}

// Guards against an answer that a caller takes for a node's though the name of a field in its head is no token.
func TestMalformedHead(t *testing.T) {
	c := qt.New(t)
	node := newFakeNode(t, malformed)
	client := newClient(c, newQuickClock(), Settings{MaxSends: 1}, node.url)

	_, err := client.Submit(c.Context(), request)
	expectOutcome(c, err, Unknown, 1)
	c.Assert(err, qt.ErrorIs, chuteanswer.ErrMalformed)

	_, err = client.NodeStatus(c.Context(), node.url)
	c.Assert(err, qt.ErrorIs, chuteanswer.ErrMalformed)
}

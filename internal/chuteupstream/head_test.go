package chuteupstream

import (
	"context"
	"fmt"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"azurechute.example/azurechute/internal/chuteanswer"
	"azurechute.example/azurechute/internal/chuterequest"
)

// Guards against an answer and a load report that are used though the name of a field in their head is no token.
func TestMalformedHead(t *testing.T) {
	body := plainBody(ours)
	address := serveRaw(t, func(conn net.Conn, _ int) {
		defer hangUp(conn)
		if readRequest(conn) {
			send(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nA B: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		}
	})
	client := newTestClient(t, clockwork.NewRealClock())

	_, failure := client.Run(context.Background(), plainCall(address), nil)
	expectFailure(t, failure, chuterequest.FailureBroken, false)

	_, err := client.Load(context.Background(), address)
	qt.Assert(t, err, qt.ErrorIs, chuteanswer.ErrMalformed)
}

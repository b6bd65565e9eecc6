package chuteupstream

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"

	"azurechute.example/azurechute/internal/chuteanswer"
	"azurechute.example/azurechute/internal/chuterequest"
)

// work does the exchange, and afterwards readies the connection for the next call.
func (a *attempt) work() {
	defer a.abort()

	resp, failure := a.send()
	if failure != nil {
		a.finish(Result{Text: a.call.ResumeText, Tokens: a.call.ResumeOffset}, failure)

		return
	}
	defer closeBody(resp)

	a.progress()
	result, failure := a.receive(resp)
	if failure != nil {
		a.clean(failure)
		a.finish(result, failure)

		return
	}
	a.finish(result, nil)
	a.drain(resp)
}

func (a *attempt) receive(resp *http.Response) (Result, *chuterequest.Failure) {
	if named := resp.Header.Get(attemptHeader); named != "" && named != string(a.call.Attempt) {
		return a.partial(), a.crossed(named)
	}
	if resp.StatusCode != http.StatusOK {
		return a.partial(), a.readRefusal(resp)
	}
	if a.call.isStream() {
		return a.readStream(resp.Body)
	}

	return a.readOutput(resp.Body)
}

// clean closes the connection of an answer that can't be trusted and stops an engine that may still be generating.
func (a *attempt) clean(failure *chuterequest.Failure) {
	switch failure.Kind {
	case chuterequest.FailureRefused:
		return
	case chuterequest.FailureBroken:
		a.client.pools.dropIdle(a.call.Address)
	}
	// A crossed answer shows that requests and answers on this connection are
	// out of step: whatever is sent on it next would be crossed too. An error
	// that names no attempt may be such an answer.
	a.closeConn()
	if failure.Kind != chuterequest.FailureErrored {
		a.cancelEngine()
	}
}

// cancelEngine tells an engine once that nobody waits for the attempt.
func (a *attempt) cancelEngine() {
	if a.call.isStream() {
		a.cancelOnce.Do(func() { a.client.cancelAttempt(a.call) })
	}
}

// drain reads the end of the body, without which the connection can't be reused; Run has returned by now.
func (a *attempt) drain(resp *http.Response) {
	timer := a.client.clock.AfterFunc(a.client.LateWait, a.abort)
	defer timer.Stop()

	if err := discard(resp.Body); err != nil {
		a.client.log.Debug().Str("Step", "drain").Str("Peer", a.call.Address).Err(err).Msg("connection not kept")
	}
}

// send hands the request over and returns the header of the answer.
//
// A pooled connection may have died unnoticed. If it provably took no byte, the
// request goes out once more on a new connection, so that a peer's restart does
// not count against it. That is the only repetition: net/http itself repeats no
// POST without GetBody.
func (a *attempt) send() (*http.Response, *chuterequest.Failure) {
	body, path, err := a.encodeCall()
	if err != nil {
		return nil, notSent(chuterequest.FailureErrored, "encode: "+err.Error())
	}
	if !a.call.Unrepeatable {
		transport := a.client.pools.get(a.call.Address, a.client.clock.Now())
		resp, err := a.roundTrip(transport, path, body)
		if err == nil {
			return resp, nil
		}
		if !a.redial() {
			return nil, a.sendFailure(err)
		}
	}
	resp, err := a.roundTrip(a.client.fresh, path, body)
	if err != nil {
		return nil, a.sendFailure(err)
	}

	return resp, nil
}

func (a *attempt) roundTrip(transport *http.Transport, path string, body []byte) (*http.Response, error) {
	exclusive := transport == a.client.fresh
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		a.gotConn(info, exclusive)
	}}
	r := newPost(httptrace.WithClientTrace(a.exchange, trace), a.call.Address, path, body)
	if a.call.isStream() {
		r.Header.Set("Accept", "text/event-stream")
	}
	resp, err := chuteanswer.Checked(transport.RoundTrip(r))
	if err != nil {
		return nil, err
	}
	a.currentConn().end()

	return resp, nil
}

// gotConn runs before the request's first byte is written.
func (a *attempt) gotConn(info httptrace.GotConnInfo, exclusive bool) {
	conn := asTracked(info.Conn)
	a.mu.Lock()
	defer a.mu.Unlock()

	conn.begin(exclusive)
	a.conn = conn
	a.reused = info.Reused
	if a.abandoned {
		// Run may have said "not taken" already, as no connection was there yet.
		conn.sealUnwritten()
	}
}

// redial says whether the request may go out again on a new connection.
func (a *attempt) redial() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.abandoned || !a.reused || !a.conn.sealUnwritten() {
		return false
	}
	a.conn = nil
	a.reused = false
	metrics.Add("Redialed", 1)

	return true
}

func (a *attempt) sealUnwritten() bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.conn == nil || a.conn.sealUnwritten()
}

func (a *attempt) closeConn() {
	// The connection is given up; there is nothing to do about a failing close.
	_ = a.currentConn().Close()
}

// currentConn may be called once there is an answer.
func (a *attempt) currentConn() *trackedConn {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.conn
}

func (a *attempt) sendFailure(err error) *chuterequest.Failure {
	if a.sealUnwritten() {
		kind := chuterequest.FailureUnreachable
		if a.exchange.Err() != nil {
			kind = chuterequest.FailureCancelled
		}

		return notSent(kind, err.Error())
	}
	failure := a.broken(err)
	if failure.Kind == chuterequest.FailureBroken {
		a.client.pools.dropIdle(a.call.Address)
		a.cancelEngine()
	}

	return failure
}

// broken is for a connection that failed after bytes were handed over.
func (a *attempt) broken(err error) *chuterequest.Failure {
	kind := chuterequest.FailureBroken
	if a.exchange.Err() != nil {
		kind = chuterequest.FailureCancelled
	}
	if errors.Is(err, errTooLarge) {
		kind = chuterequest.FailureMalformed
	}

	return &chuterequest.Failure{Kind: kind, Detail: a.offsetDetail(err.Error())}
}

func (a *attempt) malformed(detail string) *chuterequest.Failure {
	return &chuterequest.Failure{Kind: chuterequest.FailureMalformed, Detail: a.offsetDetail(detail)}
}

func (a *attempt) crossed(named string) *chuterequest.Failure {
	detail := fmt.Sprintf("the answer names attempt %q", clip(named))

	return &chuterequest.Failure{Kind: chuterequest.FailureCrossed, Detail: a.offsetDetail(detail)}
}

// offsetDetail adds the offset that a stream had reached.
func (a *attempt) offsetDetail(detail string) string {
	if !a.call.isStream() {
		return detail
	}
	a.mu.Lock()
	defer a.mu.Unlock()

	return fmt.Sprintf("at offset %d: %s", a.next, detail)
}

package chuteapi

import (
	"context"
	"time"
)

// askAgainPause is how long to wait before asking what became of a send that ended without word.
const askAgainPause = 50 * time.Millisecond

// Submit runs a request and returns the whole answer; the error is an OutcomeError.
func (c *Client) Submit(ctx context.Context, r Request) (Answer, error) {
	return c.run(ctx, r, nil)
}

// Stream runs a request and passes on its tokens as they come; the error is an OutcomeError.
//
// The tokens are not to be trusted as a whole text until Stream returns without
// an error. Once a token was passed on, the request is not sent again.
func (c *Client) Stream(ctx context.Context, r Request, onToken func(Token)) (Answer, error) {
	if onToken == nil {
		onToken = func(Token) {}
	}

	return c.run(ctx, r, onToken)
}

// run sends the request until it has an answer or must not send it again.
func (c *Client) run(ctx context.Context, r Request, onToken func(Token)) (Answer, error) {
	started := c.clock.Now()

	var before *OutcomeError

	for sends := 1; ; sends++ {
		avoid := ""
		if before != nil {
			avoid = before.Node
		}

		node := c.nodes.next(avoid, c.clock.Now())

		answer, failure := c.send(ctx, node, remaining(r, c.clock.Since(started)), onToken)
		if failure == nil {
			answer.Sends = sends

			return answer, nil
		}

		failure.Sends = sends
		wait, permitted := c.permits(failure)
		before = failure.after(before)

		if !permitted || sends >= c.settings.MaxSends || !c.pause(ctx, r, started, wait) {
			return Answer{}, before
		}
	}
}

// remaining returns the request with the time that is left of its deadline.
func remaining(r Request, spent time.Duration) Request {
	if r.Deadline > 0 {
		r.Deadline -= spent
	}

	return r
}

// permits tells whether the end of one send lets the client send the request again, and after which wait.
func (c *Client) permits(failure *OutcomeError) (time.Duration, bool) {
	switch {
	case failure.Tokens > 0:
		return 0, false
	case failure.Outcome == NotRun && !failure.Told:
		c.nodes.setAside(failure.Node, c.clock.Now())

		return 0, true
	case failure.Outcome == NotRun, failure.Outcome == Failed && failure.SafeToRepeat:
		return failure.RetryAfter, failure.RetryAfter > 0
	case failure.Outcome == Unknown:
		return max(failure.RetryAfter, askAgainPause), true
	}

	return 0, false
}

// pause waits; it returns false at once where the wait would outlast the deadline or the caller.
func (c *Client) pause(ctx context.Context, r Request, started time.Time, wait time.Duration) bool {
	if r.Deadline > 0 && c.clock.Since(started)+wait >= r.Deadline {
		return false
	}

	if due, bounded := ctx.Deadline(); bounded && !c.clock.Now().Add(wait).Before(due) {
		return false
	}

	if wait <= 0 {
		return ctx.Err() == nil
	}

	timer := c.clock.NewTimer(wait)
	defer timer.Stop()

	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

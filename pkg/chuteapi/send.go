package chuteapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	pathRequests = "/v1/requests"
	eventStream  = "text/event-stream"
	// maxAnswerBytes bounds an answer, and a frame of a stream, in memory.
	maxAnswerBytes = 64 << 20
)

// The steps at which a send can end; errors name them.
const (
	stepEncode = "encode"
	stepSend   = "send"
	stepRead   = "read answer"
	stepCheck  = "check answer"
)

var (
	errSilent  = errors.New("no answer within the deadline and its grace")
	errStalled = errors.New("the stream made no progress")
)

type submitBody struct {
	RequestID    string
	Workspace    string
	Pipeline     string
	Deadline     string `json:",omitempty"`
	Unrepeatable bool   `json:",omitempty"`
	Input        json.RawMessage
}

// answerBody is an answer, or with Code a refusal.
type answerBody struct {
	RequestID              string
	Outcome                Outcome
	Output                 json.RawMessage
	Length                 int
	Digest                 string
	Code                   string
	Problem                string
	Field                  string
	Value                  string
	RetryAfterMilliseconds int64
	SafeToRepeat           bool
}

func (b answerBody) refusal(node string, status int) Refusal {
	return Refusal{
		Node: node, Status: status, Code: b.Code, Problem: b.Problem, Field: b.Field, Value: b.Value,
		RetryAfter: time.Duration(b.RetryAfterMilliseconds) * time.Millisecond,
	}
}

// send sends the request once to one node.
func (c *Client) send(ctx context.Context, node string, r Request, onToken func(Token)) (Answer, *OutcomeError) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)

	// A connection that went silent tells nothing, not even its end. The node answers by the deadline, so whatever comes
	// no more after it and a grace is lost; cancelling also closes the connection, and the next send takes another.
	watch := c.clock.AfterFunc(c.answerTimeout(r), func() { cancel(errSilent) })
	defer watch.Stop()

	req, err := c.newSubmit(ctx, node, r, onToken != nil)
	if err != nil {
		return Answer{}, &OutcomeError{Outcome: NotRun, Step: stepEncode, Told: true, Refusal: Refusal{Node: node, Problem: "the request cannot be sent"}, Err: err}
	}

	resp, err := c.http.Do(req) //nolint:gosec // the caller names the nodes
	if err != nil {
		return Answer{}, unsent(ctx, node, err)
	}
	defer resp.Body.Close()

	if onToken != nil && resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), eventStream) {
		return c.readStream(ctx, cancel, node, r, resp.Body, onToken)
	}

	return readAnswer(ctx, node, r, resp)
}

func (c *Client) answerTimeout(r Request) time.Duration {
	if r.Deadline > 0 {
		return r.Deadline + answerGrace
	}

	return c.settings.AnswerTimeout
}

func (c *Client) newSubmit(ctx context.Context, node string, r Request, streamed bool) (*http.Request, error) {
	body := submitBody{
		RequestID: r.RequestID, Workspace: r.Workspace, Pipeline: r.Pipeline, Unrepeatable: r.Unrepeatable, Input: r.Input,
	}
	if r.Deadline > 0 {
		body.Deadline = r.Deadline.String()
	}

	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}

	req, err := http.NewRequestWithContext(ctx, http.MethodPost, node+pathRequests, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}

	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.settings.Tokens[r.Workspace])
	if streamed {
		req.Header.Set("Accept", eventStream)
	}

	return req, nil
}

// unsent tells a send that reached no node from one that may have: only a failed dial has sent nothing for certain.
func unsent(ctx context.Context, node string, err error) *OutcomeError {
	failure := incomplete(ctx, node, stepSend, 0, err)

	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		failure.Outcome = NotRun
		failure.Problem = "the node cannot be reached"
	}

	return failure
}

// incomplete is the end of a send after which no node has stated an outcome.
func incomplete(ctx context.Context, node, step string, tokens int, err error) *OutcomeError {
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}

	return &OutcomeError{
		Outcome: Unknown, Step: step, Tokens: tokens, Err: err,
		Refusal: Refusal{Node: node, Problem: "no whole answer came"},
	}
}

// readAnswer reads an answer or refusal that is one JSON object.
func readAnswer(ctx context.Context, node string, r Request, resp *http.Response) (Answer, *OutcomeError) {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return Answer{}, incomplete(ctx, node, stepRead, 0, err)
	}

	var body answerBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return Answer{}, incomplete(ctx, node, stepRead, 0, fmt.Errorf("status %d: %w", resp.StatusCode, err))
	}

	if resp.StatusCode != http.StatusOK {
		return Answer{}, refused(body, node, resp.StatusCode, 0)
	}

	answer, err := checked(body, r.RequestID)
	if err != nil {
		return Answer{}, incomplete(ctx, node, stepCheck, 0, err)
	}

	answer.Node = node

	return answer, nil
}

// refused turns a node's own word into an error; one without an outcome leaves the request in doubt.
func refused(body answerBody, node string, status, tokens int) *OutcomeError {
	failure := &OutcomeError{
		Refusal: body.refusal(node, status), Outcome: body.Outcome, SafeToRepeat: body.SafeToRepeat,
		Told: true, Tokens: tokens, Step: stepRead,
	}

	switch body.Outcome {
	case NotRun, Failed, Unknown:
	default:
		failure.Outcome, failure.Told = Unknown, false
	}

	return failure
}

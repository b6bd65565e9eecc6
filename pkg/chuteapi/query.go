package chuteapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// queryTimeout bounds one query to one node.
const queryTimeout = 5 * time.Second

// Nodes returns the URLs of the nodes that the client was given.
func (c *Client) Nodes() []string {
	return append([]string{}, c.nodes.urls...)
}

// Status asks the nodes in turn what became of an unrepeatable request; errors.Is finds ErrNotRecorded where they know of none.
func (c *Client) Status(ctx context.Context, workspace, requestID string) (RequestStatus, error) {
	const step = "request status"

	path := pathRequests + "/" + url.PathEscape(requestID) + "?Workspace=" + url.QueryEscape(workspace)

	var last error

	for range c.nodes.urls {
		node := c.nodes.next("", c.clock.Now())

		var body answerBody

		err := c.get(ctx, node, step, path, c.settings.Tokens[workspace], &body)
		if err == nil {
			return statusOf(body, node, requestID)
		}

		last = err

		var refused *ReadError
		if errors.As(err, &refused) && refused.Status != 0 && refused.Status != http.StatusServiceUnavailable {
			break
		}
	}

	return RequestStatus{}, last
}

func statusOf(body answerBody, node, requestID string) (RequestStatus, error) {
	status := RequestStatus{
		Outcome: body.Outcome, Problem: body.Problem, SafeToRepeat: body.SafeToRepeat,
		RetryAfter: time.Duration(body.RetryAfterMilliseconds) * time.Millisecond,
	}
	if body.Outcome != Answered {
		return status, nil
	}

	answer, err := checked(body, requestID)
	if err != nil {
		return RequestStatus{}, &ReadError{Refusal: Refusal{Node: node, Problem: "the recorded answer is not whole"}, Step: stepCheck, Err: err}
	}

	answer.Node = node
	status.Answer = answer

	return status, nil
}

// NodeStatus asks one node about itself; the error is a ReadError.
func (c *Client) NodeStatus(ctx context.Context, node string) (NodeStatus, error) {
	var status NodeStatus
	err := c.get(ctx, node, "node status", "/v1/status", "", &status)

	return status, err
}

// State returns the dump of one node's decision state as JSON; the error is a ReadError.
func (c *Client) State(ctx context.Context, node string) (json.RawMessage, error) {
	var state json.RawMessage
	err := c.get(ctx, node, "state", "/debug/state", c.settings.OperatorToken, &state)

	return state, err
}

func (c *Client) get(ctx context.Context, node, step, path, token string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()

	failed := func(status int, err error) error {
		return &ReadError{Refusal: Refusal{Node: node, Status: status, Problem: "no answer came"}, Step: step, Err: err}
	}

	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimRight(node, "/")+path, nil)
	if err != nil {
		return failed(0, err)
	}

	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}

	resp, err := c.http.Do(req) //nolint:gosec // the caller names the nodes
	if err != nil {
		c.nodes.setAside(node, c.clock.Now())

		return failed(0, err)
	}
	defer resp.Body.Close()

	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return failed(0, err)
	}

	if resp.StatusCode != http.StatusOK {
		return refusedRead(raw, node, step, resp.StatusCode)
	}

	if err := json.Unmarshal(raw, into); err != nil {
		return failed(resp.StatusCode, err)
	}

	return nil
}

func refusedRead(raw []byte, node, step string, status int) error {
	var body answerBody
	if err := json.Unmarshal(raw, &body); err != nil {
		body.Problem = http.StatusText(status)
	}

	refused := &ReadError{Refusal: body.refusal(node, status), Step: step}
	if status == http.StatusNotFound && body.Field == "RequestID" {
		refused.Err = ErrNotRecorded
	}

	return refused
}

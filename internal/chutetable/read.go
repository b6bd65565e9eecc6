package chutetable

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// pageRows is how many rows a scan asks for at once.
const pageRows = 500

// readRequest is the body of POST /v1/read: either Keys, or Prefix with After and Limit.
type readRequest struct {
	Keys   []string `json:",omitempty"`
	Prefix string   `json:",omitempty"`
	After  string   `json:",omitempty"`
	Limit  int      `json:",omitempty"`
}

// readAnswer keeps Rows undecoded so that a missing list differs from an empty one.
type readAnswer struct {
	Rows json.RawMessage
}

// Read returns the rows of those keys that are present, in key order.
func (c *Client) Read(ctx context.Context, step string, keys ...string) ([]Row, error) {
	return c.read(ctx, step, readRequest{Keys: keys}, func(row Row) bool {
		return slices.Contains(keys, row.Key)
	})
}

// Scan returns the rows whose keys start with the prefix, in key order, page by
// page up to limit rows; limit 0 means all. It is no snapshot over the pages.
func (c *Client) Scan(ctx context.Context, step, prefix string, limit int) ([]Row, error) {
	var rows []Row
	after := ""
	for {
		want := pageRows
		if limit > 0 {
			want = min(want, limit-len(rows))
		}
		if want == 0 {
			return rows, nil
		}
		page, err := c.read(ctx, step, readRequest{Prefix: prefix, After: after, Limit: want}, func(row Row) bool {
			return strings.HasPrefix(row.Key, prefix) && row.Key > after
		})
		if err != nil {
			return nil, err
		}
		// A page may be shorter than asked because the service has a limit of its
		// own, so only an empty one is the end.
		if len(page) == 0 {
			return rows, nil
		}
		rows = append(rows, page...)
		after = page[len(page)-1].Key
	}
}

// read does one read; expected says whether a row can belong to its answer.
func (c *Client) read(ctx context.Context, step string, body readRequest, expected func(Row) bool) ([]Row, error) {
	encoded, err := encode(body)
	if err != nil {
		return nil, c.table.errorAt(step).Wrap(err)
	}
	started := c.table.clock.Now()
	req := request{method: http.MethodPost, path: "/v1/read", header: jsonHeader(), body: encoded, repeatable: true}
	got, err := c.call(ctx, c.table, c.reads, step, req)
	if err != nil {
		return nil, err
	}
	rows, err := readRows(got, expected)
	if err != nil {
		return nil, c.failed(c.table, step, started, err)
	}
	return rows, nil
}

// readRows refuses an answer without a list or with foreign rows: a cut or
// crossed answer would otherwise read as rows that are absent.
func readRows(got answer, expected func(Row) bool) ([]Row, error) {
	if got.status != http.StatusOK {
		return nil, got.statusError()
	}
	var body readAnswer
	if err := json.Unmarshal(got.body, &body); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	if body.Rows == nil {
		return nil, fmt.Errorf("%w: Rows is missing", errMalformed)
	}
	var rows []Row
	if err := json.Unmarshal(body.Rows, &rows); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	for n, row := range rows {
		if !expected(row) || n > 0 && rows[n-1].Key >= row.Key {
			return nil, fmt.Errorf("%w: row %q was not asked for there", errMalformed, row.Key)
		}
	}
	return rows, nil
}

package chuteledger

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/samber/oops"
)

// KeyPrefix is where all rows of all ledgers stand in the table.
const KeyPrefix = "ledger/"

// Row is one row to write: a shard of one node incarnation's counters.
type Row struct {
	// Key is the table key; it names the row in gossip too.
	Key         string
	Incarnation string
	// Version is the table version that the write is conditional on; 0 means absent.
	Version uint64
	// Mark numbers the state of the counters that Body holds; a higher mark of the same key holds later counters.
	Mark uint64
	Body json.RawMessage
}

// RowKey returns the table key of a shard.
func RowKey(incarnation string, shard int) string {
	return KeyPrefix + incarnation + "/" + strconv.Itoa(shard)
}

// ShardOfKey returns the shard number at the end of a row's key, or 0.
func ShardOfKey(key string) int {
	n, err := strconv.Atoi(key[strings.LastIndexByte(key, '/')+1:])
	if err != nil || n < 0 {
		return 0
	}

	return n
}

// rowBody is a row's value; the nested maps keep the names from standing once per counter,
// and the encoder sorts their keys, so that equal counters have equal bytes.
type rowBody struct {
	Incarnation string
	Teams       map[string]map[string]map[string]map[string]stageBody
}

type stageBody struct {
	Charged *Count `json:",omitempty"`
	Wasted  *Count `json:",omitempty"`
}

// Encode returns the canonical JSON of a set of counters of one incarnation.
func Encode(incarnation string, counters Counters) (json.RawMessage, error) {
	body := rowBody{Incarnation: incarnation, Teams: map[string]map[string]map[string]map[string]stageBody{}}
	for key, count := range counters.All() {
		workspaces := child(body.Teams, key.Team)
		pipelines := child(workspaces, key.Workspace)
		stages := child(pipelines, key.Pipeline)
		stage := stages[key.Stage]
		if key.Wasted {
			stage.Wasted = &count
		} else {
			stage.Charged = &count
		}
		stages[key.Stage] = stage
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, oops.In("ledger").With("step", "encode", "peer", incarnation).Wrap(err)
	}

	return encoded, nil
}

// Decode reads a row's value and returns the incarnation and its counters.
func Decode(value json.RawMessage) (string, Counters, error) {
	var body rowBody
	fail := oops.In("ledger").With("step", "decode")
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return "", Counters{}, fail.Wrap(err)
	}
	if body.Incarnation == "" {
		return "", Counters{}, fail.Errorf("the row names no incarnation")
	}
	counters := NewCounters()
	for team, workspaces := range body.Teams {
		for workspace, pipelines := range workspaces {
			for pipeline, stages := range pipelines {
				for stage, counts := range stages {
					key := Key{Team: team, Workspace: workspace, Pipeline: pipeline, Stage: stage}
					counters = withStage(counters, key, counts)
				}
			}
		}
	}

	return body.Incarnation, counters, nil
}

func withStage(counters Counters, key Key, counts stageBody) Counters {
	if counts.Charged != nil {
		counters = counters.With(key, *counts.Charged)
	}
	if counts.Wasted != nil {
		key.Wasted = true
		counters = counters.With(key, *counts.Wasted)
	}

	return counters
}

func child[V any](parent map[string]map[string]V, name string) map[string]V {
	m, ok := parent[name]
	if !ok {
		m = map[string]V{}
		parent[name] = m
	}

	return m
}

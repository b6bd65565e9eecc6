package chutecore

import (
	"encoding/json"
	"strconv"

	"azurechute.example/azurechute/internal/chuteledger"
	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuterequest"
)

// RelayEvent wraps an event of relayed requests for Reduce.
type RelayEvent struct {
	Stamp
	Event chuterelay.Event
}

// RelayEffect wraps an effect of relayed requests.
type RelayEffect struct {
	Effect chuterelay.Effect
}

func (RelayEffect) effect() {}

// LedgerDue asks for the cost counters that are due to be written; with AtExit, for all that are not yet written.
type LedgerDue struct {
	Stamp
	AtExit bool
}

// LedgerRestored reports that the table of cost counters is that of a copy, which may lack any counter. Rows are those
// of nodes that have shut down.
type LedgerRestored struct {
	Stamp
	Rows []json.RawMessage
}

// applyLedgerRestored has all own counters written again, and those of the rows that the table lacks.
func (st *transition) applyLedgerRestored(e LedgerRestored) {
	st.ledger = st.ledger.WithTableRestored()
	for _, row := range e.Rows {
		// A row that can't be decoded was not written by a node; it is left out.
		if incarnation, counters, err := chuteledger.Decode(row); err == nil {
			st.ledger = st.ledger.WithForeign(incarnation, counters)
		}
	}
}

// WriteLedgerRows writes rows of cost counters in one transaction, each row conditional on its version.
type WriteLedgerRows struct {
	Rows []chuteledger.Row
}

func (WriteLedgerRows) effect() {}

// applyLedgerDue emits one effect that writes all due rows.
func (st *transition) applyLedgerDue(e LedgerDue) {
	due := st.ledger.Due
	if e.AtExit {
		due = st.ledger.DueAtExit
	}
	ledger, rows, err := due(st.now)
	if err != nil || len(rows) == 0 {
		// A row that can't be encoded stays in memory and is retried.
		return
	}
	st.ledger = ledger
	st.emit(WriteLedgerRows{Rows: rows})
}

// WithRelay returns the state with the given state of relayed requests.
func (s State) WithRelay(relay chuterelay.State) State {
	s.relay = relay

	return s
}

// Relay returns the state of relayed requests.
func (s State) Relay() chuterelay.State {
	return s.relay
}

// applyRelay applies the event to the state of relayed requests, adds its charges to
// the ledger and emits its other effects.
func (st *transition) applyRelay(e RelayEvent) {
	var effects []chuterelay.Effect
	st.relay, effects = chuterelay.Reduce(st.relay, st.now, e.Event)
	for _, effect := range effects {
		charge, ok := effect.(chuterelay.Charge)
		if !ok {
			st.emit(RelayEffect{Effect: effect})

			continue
		}
		st.chargeRelayed(charge)
	}
}

// chargeRelayed charges the usage of a relayed request; its workspace counts as a team of its own.
func (st *transition) chargeRelayed(c chuterelay.Charge) {
	attempt := chuterequest.AttemptID(st.identity.Incarnation + "-r" + strconv.FormatUint(c.Attempt, 36))
	st.ledger = st.ledger.WithCharge(chuteledger.Charge{
		Attempt: attempt, Team: c.Workspace, Workspace: c.Workspace, Pipeline: c.Pipeline, Stage: c.Stage,
		Usage: chuterequest.Usage{Units: c.Units}, Wasted: c.Wasted,
	})
}

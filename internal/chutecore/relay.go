package chutecore

import (
	"strconv"

	"azurechute.example/azurechute/internal/chuteledger"
	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuterequest"
)

// RelayEvent carries what happened to relayed requests into the one reducer.
type RelayEvent struct {
	Stamp
	Event chuterelay.Event
}

// RelayEffect carries what is to be done for relayed requests.
type RelayEffect struct {
	Effect chuterelay.Effect
}

func (RelayEffect) effect() {}

// LedgerDue asks for the cost counters that are to be written now; AtExit asks for all that are not written.
type LedgerDue struct {
	Stamp
	AtExit bool
}

// WriteLedgerRows writes cost counters, each row on the condition of its version, all or none.
type WriteLedgerRows struct {
	Rows []chuteledger.Row
}

func (WriteLedgerRows) effect() {}

// ledgerDue hands out the rows to write in one go.
func (st *transition) applyLedgerDue(e LedgerDue) {
	due := st.ledger.Due
	if e.AtExit {
		due = st.ledger.DueAtExit
	}
	ledger, rows, err := due(st.now)
	if err != nil || len(rows) == 0 {
		// A row that can't be encoded stays in memory and is tried again.
		return
	}
	st.ledger = ledger
	st.emit(WriteLedgerRows{Rows: rows})
}

// WithRelay returns the state with relayed requests served from the given state on.
func (s State) WithRelay(relay chuterelay.State) State {
	s.relay = relay

	return s
}

// Relay returns what is known of relayed requests.
func (s State) Relay() chuterelay.State {
	return s.relay
}

// applyRelay lets the relaying part decide, and charges what its effects say was used.
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

// chargeRelayed counts work of relayed requests; their workspaces are charged as teams of their own.
func (st *transition) chargeRelayed(c chuterelay.Charge) {
	attempt := chuterequest.AttemptID(st.identity.Incarnation + "-r" + strconv.FormatUint(c.Attempt, 36))
	st.ledger = st.ledger.WithCharge(chuteledger.Charge{
		Attempt: attempt, Team: c.Workspace, Workspace: c.Workspace, Pipeline: c.Pipeline, Stage: c.Stage,
		Usage: chuterequest.Usage{Units: c.Units}, Wasted: c.Wasted,
	})
}

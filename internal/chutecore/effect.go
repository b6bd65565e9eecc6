package chutecore

import (
	"time"

	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

// Effect is something for the node to do, as data; effects are carried out in order.
type Effect interface {
	effect()
}

// Dispatch hands one stage of a request to an upstream.
type Dispatch struct {
	Handle     uint64
	Attempt    chuterequest.AttemptID
	Key        chuterequest.Key
	Work       Work
	StageIndex int
	Stage      chuteconfig.Stage
	Kind       chuteconfig.PoolKind
	Model      chuteconfig.Model
	Upstream   string
	Address    string
	Priority   int
	Deadline   time.Time
	Stall      time.Duration
	// Context is the attempt whose result is this stage's context; empty for the first stage.
	Context chuterequest.AttemptID
	// Resume asks to go on with the text that the node holds of this stage.
	Resume       bool
	Unrepeatable bool
	// Next is the kind of the following stage, empty for the last one.
	Next chuteconfig.PoolKind
}

// CancelAttempt stops an attempt whose result is no longer wanted.
type CancelAttempt struct {
	Handle  uint64
	Attempt chuterequest.AttemptID
}

// Answer ends a request towards its caller.
type Answer struct {
	Handle  uint64
	Outcome chuterequest.Outcome
	// Result is the attempt whose result is the answer, empty unless Answered by this node.
	Result chuterequest.AttemptID
	// Stored says that the answer is the one that the claim's row holds.
	Stored bool
}

// TakeClaim asks for the durable claim of the request's key; Again says that it was asked before.
type TakeClaim struct {
	Handle   uint64
	Key      chuterequest.Key
	Deadline time.Time
	Timeout  time.Duration
	Again    bool
}

// FinishClaim writes the outcome to the claim's row.
type FinishClaim struct {
	Handle  uint64
	Outcome chuterequest.Outcome
	Result  chuterequest.AttemptID
}

// GiveUpClaim frees the key after a request of which nothing unrepeatable was handed over.
type GiveUpClaim struct {
	Handle uint64
}

// SetDeadline asks for a DeadlinePassed event at a time.
type SetDeadline struct {
	Handle uint64
	At     time.Time
}

// SetHedge asks for a HedgeDue event after a delay.
type SetHedge struct {
	Handle  uint64
	Attempt chuterequest.AttemptID
	After   time.Duration
}

// Release lets the node drop what it keeps for an ended request.
type Release struct {
	Handle uint64
}

func (Dispatch) effect()      {}
func (CancelAttempt) effect() {}
func (Answer) effect()        {}
func (TakeClaim) effect()     {}
func (FinishClaim) effect()   {}
func (GiveUpClaim) effect()   {}
func (SetDeadline) effect()   {}
func (SetHedge) effect()      {}
func (Release) effect()       {}

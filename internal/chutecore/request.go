package chutecore

import (
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

// Phase is what a request is waiting for.
type Phase string

// The phases of a request in flight.
const (
	PhaseClaiming Phase = "Claiming"
	// PhaseFollowing means that another submission holds the claim and the request waits for its result.
	PhaseFollowing Phase = "Following"
	PhaseQueued    Phase = "Queued"
	// PhaseRefusing means that the request is refused unless a look-up finds that its key has already run.
	PhaseRefusing Phase = "Refusing"
	// PhaseUnclaimed means that the claim could not be taken, but no other submission has run the key.
	PhaseUnclaimed Phase = "Unclaimed"
	PhaseRunning   Phase = "Running"
)

// Attempt is one running dispatch of the request's current stage.
type Attempt struct {
	ID        chuterequest.AttemptID
	Upstream  string
	StartedAt time.Time
	Hedge     bool
}

// age returns how long the attempt has run.
func (a Attempt) age(now time.Time) time.Duration {
	return now.Sub(a.StartedAt)
}

// Request is one request in flight; a value is immutable once it is in the state.
type Request struct {
	Handle       uint64
	Key          chuterequest.Key
	Team         string
	Pipeline     string
	Stages       []chuteconfig.Stage
	Priority     int
	ArrivedAt    time.Time
	Deadline     time.Time
	Unrepeatable bool

	Phase Phase
	// Stage indexes Stages.
	Stage int
	// ClaimHeld is true if this request holds the durable claim of its key.
	ClaimHeld bool
	// HandedOver counts the dispatched attempts, of any stage, that an upstream may have taken.
	HandedOver int
	// UnrepeatableHandedOver counts those among them that must not run twice.
	UnrepeatableHandedOver int
	// Tries counts the attempts of the current stage.
	Tries int
	// Tried names the upstreams at which the current stage has failed.
	Tried   []string `json:",omitempty"`
	Running []Attempt
	// Offset counts the tokens received of the current stage, for a resume.
	Offset int
	// Result is the attempt whose result was accepted for the last finished stage.
	Result chuterequest.AttemptID
	// Refusal is the outcome if the key has not run; set for PhaseRefusing.
	Refusal *chuterequest.Outcome `json:",omitempty"`
	// Blocks are the prompt's block hashes if the current stage runs on an engine.
	Blocks []uint64 `json:"-"`
}

// currentStage returns the current stage.
func (r Request) currentStage() chuteconfig.Stage {
	return r.Stages[r.Stage]
}

// runsAtMostOnce reports whether the current stage must not run twice.
func (r Request) runsAtMostOnce() bool {
	return r.Unrepeatable || r.currentStage().Unrepeatable
}

// hasUnrepeatableWork reports whether any stage of the request must not run twice.
func (r Request) hasUnrepeatableWork() bool {
	return r.Unrepeatable || slices.ContainsFunc(r.Stages, func(s chuteconfig.Stage) bool { return s.Unrepeatable })
}

// needsClaim reports whether the durable claim must be taken before the current stage is dispatched.
func (r Request) needsClaim() bool {
	return r.runsAtMostOnce() && !r.ClaimHeld
}

// runningAttempt returns the running attempt of the current stage with the ID, if there is one.
func (r Request) runningAttempt(id chuterequest.AttemptID) (Attempt, bool) {
	i := slices.IndexFunc(r.Running, func(a Attempt) bool { return a.ID == id })
	if i < 0 {
		return Attempt{}, false
	}

	return r.Running[i], true
}

// WithPhase returns the request in another phase.
func (r Request) WithPhase(phase Phase) Request {
	r.Phase = phase

	return r
}

// WithClaim returns the request with its key's claim held.
func (r Request) WithClaim() Request {
	r.ClaimHeld = true

	return r
}

// WithAttempt returns the request with one more attempt running.
func (r Request) WithAttempt(a Attempt) Request {
	r.Running = append(slices.Clip(r.Running), a)
	r.Phase = PhaseRunning
	r.Tries++
	r.HandedOver++
	if r.runsAtMostOnce() {
		r.UnrepeatableHandedOver++
	}

	return r
}

// WithoutAttempt returns the request after an attempt failed; with notTaken the
// attempt no longer counts as handed over.
func (r Request) WithoutAttempt(a Attempt, notTaken bool) Request {
	r.Running = slices.DeleteFunc(slices.Clone(r.Running), func(other Attempt) bool { return other.ID == a.ID })
	r.Tried = append(slices.Clip(r.Tried), a.Upstream)
	if !notTaken {
		return r
	}
	r.HandedOver--
	if r.runsAtMostOnce() {
		r.UnrepeatableHandedOver--
	}

	return r
}

// WithOffset returns the request with the number of tokens of the current stage from which it can be resumed.
func (r Request) WithOffset(offset int) Request {
	r.Offset = offset

	return r
}

// WithStageResult returns the request at its next stage, with the attempt's result accepted for the stage before.
func (r Request) WithStageResult(id chuterequest.AttemptID, nextBlocks []uint64) Request {
	r.Result = id
	r.Stage++
	r.Tries = 0
	r.Tried = nil
	r.Running = nil
	r.Offset = 0
	r.Blocks = nextBlocks

	return r
}

package chutecore

import (
	"slices"
	"time"

	"azurechute.example/azurechute/internal/chuterequest"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

// Phase says what a request waits for.
type Phase string

// The phases of a request in flight.
const (
	PhaseClaiming Phase = "Claiming"
	// PhaseFollowing: another attempt holds the claim and its result is awaited.
	PhaseFollowing Phase = "Following"
	PhaseQueued    Phase = "Queued"
	// PhaseRefusing: the request is to be turned away unless its key has run already.
	PhaseRefusing Phase = "Refusing"
	// PhaseUnclaimed: the claim was not to be had, but nobody else has run the key.
	PhaseUnclaimed Phase = "Unclaimed"
	PhaseRunning   Phase = "Running"
)

// Attempt is one running hand-over of the request's present stage.
type Attempt struct {
	ID        chuterequest.AttemptID
	Upstream  string
	StartedAt time.Time
	Hedge     bool
}

// age is how long the attempt has run.
func (a Attempt) age(now time.Time) time.Duration {
	return now.Sub(a.StartedAt)
}

// Request is one request in flight; values are never changed in place.
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
	// ClaimHeld says that the durable claim of the key is this request's.
	ClaimHeld bool
	// HandedOver counts attempts, of any stage, that an upstream may have taken.
	HandedOver int
	// UnrepeatableHandedOver counts those among them that must not run twice.
	UnrepeatableHandedOver int
	// Tries counts attempts of the present stage.
	Tries int
	// Tried names the upstreams that failed the present stage.
	Tried   []string `json:",omitempty"`
	Running []Attempt
	// Offset counts the tokens had of the present stage, for a resume.
	Offset int
	// Result is the attempt whose result the last finished stage took.
	Result chuterequest.AttemptID
	// Refusal is what the caller is told if the key turns out not to have run; for PhaseRefusing.
	Refusal *chuterequest.Outcome `json:",omitempty"`
	// Blocks are the prompt's block hashes when the present stage is an engine's.
	Blocks []uint64 `json:"-"`
}

// stage returns the present stage.
func (r Request) currentStage() chuteconfig.Stage {
	return r.Stages[r.Stage]
}

// atMostOnce says whether the present stage must not run twice.
func (r Request) runsAtMostOnce() bool {
	return r.Unrepeatable || r.currentStage().Unrepeatable
}

// claimable says whether any part of the request must not run twice.
func (r Request) hasUnrepeatableWork() bool {
	return r.Unrepeatable || slices.ContainsFunc(r.Stages, func(s chuteconfig.Stage) bool { return s.Unrepeatable })
}

// needsClaim says whether the present stage may not be handed over without the durable claim.
func (r Request) needsClaim() bool {
	return r.runsAtMostOnce() && !r.ClaimHeld
}

// attempt finds a running attempt of the present stage.
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

// WithClaim returns the request as holder of its key's claim.
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

// WithoutAttempt returns the request after an attempt failed; notTaken undoes the hand-over.
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

// WithOffset returns the request with the count of tokens that can be trusted of the present stage.
func (r Request) WithOffset(offset int) Request {
	r.Offset = offset

	return r
}

// WithStageTaken returns the request at its next stage, the present one's result being the attempt's.
func (r Request) WithStageTaken(id chuterequest.AttemptID, nextBlocks []uint64) Request {
	r.Result = id
	r.Stage++
	r.Tries = 0
	r.Tried = nil
	r.Running = nil
	r.Offset = 0
	r.Blocks = nextBlocks

	return r
}

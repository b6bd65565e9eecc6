package chuterelay

import (
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutecanary"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chutequarantine"
	"azurechute.example/azurechute/internal/chuteroute"
	"azurechute.example/azurechute/internal/chutestream"
)

// Event is something that happened to relayed requests or to the nodes and upstreams they use.
type Event interface {
	relayEvent()
}

// Submission is a validated request as the ingress passes it on.
type Submission struct {
	// Handle is unique in this process.
	Handle uint64
	// ID is the caller's id of this sending; upstreams see it too.
	ID string
	// Fingerprint is the same for all sendings of one request, whatever their IDs.
	Fingerprint string
	Pipeline    chuteroute.Pipeline
	Workspace   chuteroute.Workspace
	// Affinity identifies the part of the prompt that other requests share; empty if there is
	// none.
	Affinity     string
	PromptTokens int64
	// PromptParts are the elements of the parts of the prompt that other prompts may share, each once.
	PromptParts []string
	// MaxOutputTokens is the most tokens that the answer may have; 0 if the caller did not say. OutputHint is the caller's
	// estimate of them; 0 if there is none. SharedTokens is how many of the prompt's tokens are in parts that other
	// prompts may share.
	MaxOutputTokens int64
	OutputHint      int64
	SharedTokens    int64
	// Parts is the number of parts of each stage; a stage with 0 parts is skipped.
	Parts []int
	// PartKey identifies the input of the first stages.
	PartKey  string
	Deadline time.Time
	// CallerWait is how long the caller said that it waits for the answer; 0 if it did not say.
	CallerWait time.Duration
	// Forwarded is set if another node has received the request.
	Forwarded *Forwarded
	// Binding is what the stream is bound to by the events that the caller has; zero if it has none.
	Binding chutestream.Binding
}

// ConfigAdopted reports a newer configuration.
type ConfigAdopted struct {
	Config chuteroute.Config
}

// UpstreamsListed reports the platform's whole list of upstreams; with Hold, those missing from it
// are kept.
type UpstreamsListed struct {
	Upstreams []chutefleet.Upstream
	Hold      bool
}

// UpstreamsChanged reports a change of the platform's list of upstreams; with Hold, those that are gone
// from it are kept.
type UpstreamsChanged struct {
	chutefleet.ListChange
	Hold bool
}

// ZonesEvacuated reports all zones that the operator has evacuated: nothing is sent to their
// upstreams.
type ZonesEvacuated struct {
	Zones []string
}

// RolloutsOrdered reports all of the operator's orders to move pools to other versions. Unreadable are
// the pools with an order that can't be read and none that was read before.
type RolloutsOrdered struct {
	Orders     []chutecanary.Order
	Unreadable []string
}

// RolloutsRecorded reports records of rollouts.
type RolloutsRecorded struct {
	Records []chutecanary.Record
}

// RolloutReported reports what another node tells about a rollout.
type RolloutReported struct {
	Report chutecanary.Report
}

// RolloutReportFailed reports that a report did not reach a node; Silent says that nothing came back
// from it.
type RolloutReportFailed struct {
	Peer   string
	Silent bool
}

// RolloutWriteEnded reports that the write of a pool's record has ended, whether it succeeded or not.
type RolloutWriteEnded struct {
	Pool string
}

// RolloutTicked reports that it is time to look after the rollouts in progress. ConfirmedAt is the time
// as of which all records are known, zero if they have not been read.
type RolloutTicked struct {
	ConfirmedAt time.Time
}

// PeersListed reports all nodes, including this one.
type PeersListed struct {
	Peers []Peer
}

// Arrived reports a new request.
type Arrived struct {
	Submission
}

// CallerLeft reports that the caller does not wait for the answer any more.
type CallerLeft struct {
	Handle uint64
}

// DeadlinePassed reports that a request's time is over.
type DeadlinePassed struct {
	Handle uint64
}

// JobDone reports that the collector has all results of a requested job.
type JobDone struct {
	JobRequestID uint64
	Results      []chutebatch.Result
	// Wait is how long a job of the same kind would wait there now. OverShare says that this holds
	// for the job's workspace alone, which is over its share.
	Wait      time.Duration
	OverShare bool
	// Loads are those of overloaded upstreams.
	Loads []chutefleet.LoadReport
}

// JobFailed reports that a requested job yielded no results.
type JobFailed struct {
	JobRequestID uint64
	// PeerLost says that the peer itself is gone, shutting down or silent. PeerSilent says that
	// nothing came back from it.
	PeerLost   bool
	PeerSilent bool
	Reason     string
	// Wait is how long a job of the same kind would wait there now. OverShare says that this holds
	// for the job's workspace alone, which is over its share.
	Wait      time.Duration
	OverShare bool
	// Loads are those of overloaded upstreams.
	Loads []chutefleet.LoadReport
}

// JobReceived reports that a peer requests a job from this node's collector; Token identifies the
// job in effects.
type JobReceived struct {
	Token uint64
	Job   chutebatch.Job
	// Loads are upstream loads that the peer has learned.
	Loads []chutefleet.LoadReport
}

// JobCancelled reports that a peer does not need a job or its results any more.
type JobCancelled struct {
	Token uint64
}

// CallEnded reports the end of a call with parts.
type CallEnded struct {
	ID       uint64
	End      chutebatch.CallOutcome
	PartEnds []chutebatch.PartOutcome
	Took     time.Duration
	// Failure is empty unless the upstream failed in a way that counts against it.
	Failure chutefleet.FailureKind
	// Silent says that nothing came back, not even a refused connection.
	Silent  bool
	Leaving bool
	// UpstreamEnded says that the upstream's process has ended, not just the connection.
	UpstreamEnded bool
	// Limit is what the upstream reported of the requests that it accepts; nil if nothing.
	Limit *Limit
	// Brittle is what the upstream reported of calls that it may have to turn away; nil if nothing.
	Brittle *Brittle
}

// AttemptBegan reports that the first event of an attempt is on its way to the caller.
type AttemptBegan struct {
	Handle  uint64
	Attempt uint64
	// Binding is what a peer says that the stream is bound to; zero if it does not say, and for upstreams.
	Binding chutestream.Binding
	// Load is the load that the upstream reported; nil if none.
	Load *Load
	// Limit is what the upstream reported of the requests that it accepts; nil if nothing.
	Limit *Limit
	// Brittle is what the upstream reported of calls that it may have to turn away; nil if nothing.
	Brittle *Brittle
}

// AttemptEnd is how a relayed call ended.
type AttemptEnd string

// The ends of a relayed call.
const (
	// EndAnswered: a complete, verified answer of the upstream.
	EndAnswered AttemptEnd = "Answered"
	// EndErrored: a complete answer in which the upstream reports that it failed.
	EndErrored AttemptEnd = "Errored"
	// EndRefused: the upstream reports that it did not run the call.
	EndRefused AttemptEnd = "Refused"
	// EndInputGone: the upstream did not run the call because a stage's result is gone.
	EndInputGone AttemptEnd = "InputGone"
	// EndMisaddressed: another incarnation or service has the address; the call did not run.
	EndMisaddressed AttemptEnd = "Misaddressed"
	// EndUnreachable: no byte of the request was sent.
	EndUnreachable AttemptEnd = "Unreachable"
	// EndBroken: the connection broke or the answer was malformed; the call may have run.
	EndBroken AttemptEnd = "Broken"
	// EndSilent: no sign of life from the upstream; the call may have run.
	EndSilent AttemptEnd = "Silent"
	// EndOtherVersion: the caller has events of another version than the upstream's, so that the call was not
	// sent or none of its events was passed on.
	EndOtherVersion AttemptEnd = "OtherVersion"
	// EndOverdue: this node gave the call up because it was overdue; it may have run.
	EndOverdue AttemptEnd = "Overdue"
)

// AttemptEnded reports the end of a relayed call.
type AttemptEnded struct {
	Handle  uint64
	Attempt uint64
	End     AttemptEnd
	// HasAnswer says that the upstream's own answer can be passed on.
	HasAnswer bool
	// Silent says that nothing came back, not even a refused connection.
	Silent bool
	// Events counts the events sent to the caller in this attempt.
	Events int
	// UpstreamEnded says that the upstream's process has ended, not just the connection; UpstreamAlive says
	// that it has not, though the connection broke.
	UpstreamEnded bool
	UpstreamAlive bool
	// EventInterval is the lower quartile of the times between the events of a stream; 0 if it had too few.
	EventInterval time.Duration
	Load          *Load
	// Cold is how much longer the upstream reports to stay cold; 0 if it does not say.
	Cold time.Duration
	// Limit is what the upstream reported of the requests that it accepts; nil if nothing.
	Limit *Limit
	// Brittle is what the upstream reported of calls that it may have to turn away; nil if nothing.
	Brittle *Brittle
	// Binding is what the stream is bound to; it is set with EndOtherVersion.
	Binding chutestream.Binding
	// Refusal is why the peer that the request was forwarded to does not answer it; nil if it does, and for
	// calls to upstreams.
	Refusal *Refusal
	// Detail describes a failure for the log.
	Detail string
}

// Load is an upstream's own report of its load, in calls.
type Load struct {
	Running int
	Waiting int
	// Pace is how long work takes at the upstream at the moment, in percent of the usual time; 0 if it does not say.
	Pace int
}

// Limit is what an answer reports of the requests per second that its upstream accepts from all
// nodes together.
type Limit struct {
	// Named says that the answer names a limit. An answer that names none means that there is
	// none.
	Named     bool
	PerSecond float64
	// Unreadable is the reported text if it is not a rate.
	Unreadable string
}

// Brittle is what an answer reports of the calls that its upstream may have to turn away for want of room.
type Brittle struct {
	// Named says that the upstream falls over if it turns more than Rejections calls away in a second. An
	// answer that does not name it means that the upstream is not brittle.
	Named      bool
	Rejections int
}

// Notice is what an answer says about its upstream itself.
type Notice struct {
	// Leaving says that the upstream takes no new calls until its process ends.
	Leaving bool
	// Rest is how long the upstream wants no calls from this node; 0 if it does not ask for that.
	Rest time.Duration
	// Malformed is a field of the answer that can't be read, with its value; empty if there is none.
	Malformed string
}

// NoticeReceived reports that an answer says something about its upstream itself.
type NoticeReceived struct {
	Upstream chutefleet.Upstream
	Notice
}

// ProbeEnded reports whether a silent upstream accepts connections again.
type ProbeEnded struct {
	Upstream string
	Alive    bool
}

// LimitsAnnounced reports the limits of upstreams that other nodes have announced.
type LimitsAnnounced struct {
	Limits []chutefleet.LimitRecord
}

// QuarantineAnnounced reports the crashes and judgements that other nodes have announced.
type QuarantineAnnounced struct {
	Crashes    []chutequarantine.Crash
	Judgements []chutequarantine.Judgement
}

// JudgeDue reports that crashes can be judged.
type JudgeDue struct{}

// DrainStarted reports that the process has received the request to end.
type DrainStarted struct{}

// DrainEnding reports that the process ends soon.
type DrainEnding struct{}

// Ticked reports that waiting parts should be checked.
type Ticked struct{}

func (ConfigAdopted) relayEvent()       {}
func (UpstreamsListed) relayEvent()     {}
func (UpstreamsChanged) relayEvent()    {}
func (ZonesEvacuated) relayEvent()      {}
func (PeersListed) relayEvent()         {}
func (Arrived) relayEvent()             {}
func (CallerLeft) relayEvent()          {}
func (DeadlinePassed) relayEvent()      {}
func (JobDone) relayEvent()             {}
func (JobFailed) relayEvent()           {}
func (JobReceived) relayEvent()         {}
func (JobCancelled) relayEvent()        {}
func (CallEnded) relayEvent()           {}
func (AttemptBegan) relayEvent()        {}
func (AttemptEnded) relayEvent()        {}
func (NoticeReceived) relayEvent()      {}
func (ProbeEnded) relayEvent()          {}
func (QuarantineAnnounced) relayEvent() {}
func (JudgeDue) relayEvent()            {}
func (LimitsAnnounced) relayEvent()     {}
func (DrainStarted) relayEvent()        {}
func (DrainEnding) relayEvent()         {}
func (Ticked) relayEvent()              {}
func (RolloutsOrdered) relayEvent()     {}
func (RolloutsRecorded) relayEvent()    {}
func (RolloutReported) relayEvent()     {}
func (RolloutReportFailed) relayEvent() {}
func (RolloutWriteEnded) relayEvent()   {}
func (RolloutTicked) relayEvent()       {}

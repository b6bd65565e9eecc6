package chuteshare

import (
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteroute"
	"azurechute.example/azurechute/internal/chuteshare/chutesharepb"
)

// encodeJob converts a job to its message. Times are sent as durations from now, so that the
// clocks of the nodes need not agree.
func encodeJob(job chutebatch.Job, now time.Time) *chutesharepb.MakeRequest {
	return &chutesharepb.MakeRequest{
		Request: job.Request, Pool: job.Pool, Stage: int32(job.Stage), Parts: int32(job.Parts), //nolint:gosec // small counts
		Key: job.Key, Inputs: job.Inputs, ResultBytes: job.ResultBytes, Priority: int32(job.Priority), //nolint:gosec // small
		AimMs: job.TargetAt.Sub(now).Milliseconds(), DeadlineMs: job.Deadline.Sub(now).Milliseconds(),
		RestMs: job.TimeAfterStage.Milliseconds(), Zone: job.Zone, Shard: job.Shard, Then: job.FollowingPools, InputsAt: job.InputUpstreams,
		Workspace: job.Workspace, Fingerprint: job.Fingerprint, Pipeline: job.Pipeline,
		Regions: job.Regions.Names(),
	}
}

// encodeJobRequest converts a job and its load reports to one message.
func encodeJobRequest(request JobRequest, now time.Time) *chutesharepb.MakeRequest {
	message := encodeJob(request.Job, now)
	message.Loads = encodeLoads(request.Loads)

	return message
}

func encodeLoads(loads []chutefleet.LoadReport) []*chutesharepb.LoadReport {
	converted := make([]*chutesharepb.LoadReport, 0, len(loads))
	for _, load := range loads {
		converted = append(converted, &chutesharepb.LoadReport{
			Upstream: load.Upstream, Calls: int32(load.Calls), AgeMs: load.Age.Milliseconds(), //nolint:gosec // small counts
		})
	}

	return converted
}

// decodeLoads converts messages to load reports; negative numbers become 0.
func decodeLoads(loads []*chutesharepb.LoadReport) []chutefleet.LoadReport {
	var converted []chutefleet.LoadReport
	for _, load := range loads {
		converted = append(converted, chutefleet.LoadReport{
			Upstream: load.GetUpstream(), Calls: int(max(0, load.GetCalls())),
			Age: time.Duration(max(0, load.GetAgeMs())) * time.Millisecond,
		})
	}

	return converted
}

// decodeJob converts a message to a job; its durations count from now.
func decodeJob(message *chutesharepb.MakeRequest, now time.Time) chutebatch.Job {
	return chutebatch.Job{
		Request: message.GetRequest(), Pool: message.GetPool(), Stage: int(message.GetStage()), Parts: int(message.GetParts()),
		Key: message.GetKey(), Inputs: message.GetInputs(), ResultBytes: message.GetResultBytes(), Priority: int(message.GetPriority()),
		TargetAt:       now.Add(time.Duration(message.GetAimMs()) * time.Millisecond),
		Deadline:       now.Add(time.Duration(message.GetDeadlineMs()) * time.Millisecond),
		TimeAfterStage: time.Duration(message.GetRestMs()) * time.Millisecond,
		Zone:           message.GetZone(),
		Shard:          message.GetShard(),
		FollowingPools: message.GetThen(),
		InputUpstreams: message.GetInputsAt(),
		Workspace:      message.GetWorkspace(),

		Fingerprint: message.GetFingerprint(),
		Pipeline:    message.GetPipeline(),
		Regions:     chuteroute.NewRegions(message.GetRegions()...),
	}
}

func encodeResults(results []chutebatch.Result) []*chutesharepb.Result {
	converted := make([]*chutesharepb.Result, 0, len(results))
	for _, result := range results {
		converted = append(converted, &chutesharepb.Result{Ref: result.Ref, Upstream: result.Upstream, Zone: result.Zone})
	}

	return converted
}

func decodeResults(results []*chutesharepb.Result) []chutebatch.Result {
	converted := make([]chutebatch.Result, 0, len(results))
	for _, result := range results {
		converted = append(converted, chutebatch.Result{Ref: result.GetRef(), Upstream: result.GetUpstream(), Zone: result.GetZone()})
	}

	return converted
}

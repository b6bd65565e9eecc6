package chuteshare

import (
	"time"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteshare/chutesharepb"
)

// encodeJob writes times as spans from now.
func encodeJob(j chutebatch.Job, now time.Time) *chutesharepb.MakeRequest {
	return &chutesharepb.MakeRequest{
		Request: j.Request, Pool: j.Pool, Stage: int32(j.Stage), Parts: int32(j.Parts), //nolint:gosec // small counts
		Key: j.Key, Inputs: j.Inputs, ResultBytes: j.ResultBytes, Priority: int32(j.Priority), //nolint:gosec // small
		AimMs: j.TargetAt.Sub(now).Milliseconds(), DeadlineMs: j.Deadline.Sub(now).Milliseconds(),
		RestMs: j.TimeAfterStage.Milliseconds(), Zone: j.Zone, Shard: j.Shard, Then: j.FollowingPools, InputsAt: j.InputUpstreams,
		Workspace: j.Workspace, Fingerprint: j.Fingerprint, Pipeline: j.Pipeline,
	}
}

// encodeAsk writes a job with what goes beside it.
func encodeAsk(asked Ask, now time.Time) *chutesharepb.MakeRequest {
	m := encodeJob(asked.Job, now)
	m.Loads = encodeLoads(asked.Loads)

	return m
}

func encodeLoads(loads []chutefleet.LoadReport) []*chutesharepb.LoadReport {
	out := make([]*chutesharepb.LoadReport, 0, len(loads))
	for _, l := range loads {
		out = append(out, &chutesharepb.LoadReport{
			Upstream: l.Upstream, Calls: int32(l.Calls), AgeMs: l.Age.Milliseconds(), //nolint:gosec // small counts
		})
	}

	return out
}

func decodeLoads(loads []*chutesharepb.LoadReport) []chutefleet.LoadReport {
	var out []chutefleet.LoadReport
	for _, l := range loads {
		out = append(out, chutefleet.LoadReport{
			Upstream: l.GetUpstream(), Calls: int(max(0, l.GetCalls())),
			Age: time.Duration(max(0, l.GetAgeMs())) * time.Millisecond,
		})
	}

	return out
}

func decodeJob(m *chutesharepb.MakeRequest, now time.Time) chutebatch.Job {
	return chutebatch.Job{
		Request: m.GetRequest(), Pool: m.GetPool(), Stage: int(m.GetStage()), Parts: int(m.GetParts()),
		Key: m.GetKey(), Inputs: m.GetInputs(), ResultBytes: m.GetResultBytes(), Priority: int(m.GetPriority()),
		TargetAt:       now.Add(time.Duration(m.GetAimMs()) * time.Millisecond),
		Deadline:       now.Add(time.Duration(m.GetDeadlineMs()) * time.Millisecond),
		TimeAfterStage: time.Duration(m.GetRestMs()) * time.Millisecond,
		Zone:           m.GetZone(),
		Shard:          m.GetShard(),
		FollowingPools: m.GetThen(),
		InputUpstreams: m.GetInputsAt(),
		Workspace:      m.GetWorkspace(),

		Fingerprint: m.GetFingerprint(),
		Pipeline:    m.GetPipeline(),
	}
}

func encodeResults(results []chutebatch.Result) []*chutesharepb.Result {
	out := make([]*chutesharepb.Result, 0, len(results))
	for _, r := range results {
		out = append(out, &chutesharepb.Result{Ref: r.Ref, Upstream: r.Upstream, Zone: r.Zone})
	}

	return out
}

func decodeResults(results []*chutesharepb.Result) []chutebatch.Result {
	out := make([]chutebatch.Result, 0, len(results))
	for _, r := range results {
		out = append(out, chutebatch.Result{Ref: r.GetRef(), Upstream: r.GetUpstream(), Zone: r.GetZone()})
	}

	return out
}

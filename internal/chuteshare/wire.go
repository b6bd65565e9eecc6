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
		AimMs: j.AimAt.Sub(now).Milliseconds(), DeadlineMs: j.Deadline.Sub(now).Milliseconds(),
		RestMs: j.Rest.Milliseconds(), Zone: j.Zone, Shard: j.Shard, Then: j.Then, InputsAt: j.InputsAt,
		Workspace: j.Workspace,
	}
}

// encodeAsk writes a job with what goes beside it.
func encodeAsk(asked Ask, now time.Time) *chutesharepb.MakeRequest {
	m := encodeJob(asked.Job, now)
	m.Words = encodeWords(asked.Words)

	return m
}

func encodeWords(words []chutefleet.LoadWord) []*chutesharepb.LoadWord {
	out := make([]*chutesharepb.LoadWord, 0, len(words))
	for _, w := range words {
		out = append(out, &chutesharepb.LoadWord{
			Upstream: w.Upstream, Calls: int32(w.Calls), AgeMs: w.Age.Milliseconds(), //nolint:gosec // small counts
		})
	}

	return out
}

func decodeWords(words []*chutesharepb.LoadWord) []chutefleet.LoadWord {
	var out []chutefleet.LoadWord
	for _, w := range words {
		out = append(out, chutefleet.LoadWord{
			Upstream: w.GetUpstream(), Calls: int(max(0, w.GetCalls())),
			Age: time.Duration(max(0, w.GetAgeMs())) * time.Millisecond,
		})
	}

	return out
}

func decodeJob(m *chutesharepb.MakeRequest, now time.Time) chutebatch.Job {
	return chutebatch.Job{
		Request: m.GetRequest(), Pool: m.GetPool(), Stage: int(m.GetStage()), Parts: int(m.GetParts()),
		Key: m.GetKey(), Inputs: m.GetInputs(), ResultBytes: m.GetResultBytes(), Priority: int(m.GetPriority()),
		AimAt:     now.Add(time.Duration(m.GetAimMs()) * time.Millisecond),
		Deadline:  now.Add(time.Duration(m.GetDeadlineMs()) * time.Millisecond),
		Rest:      time.Duration(m.GetRestMs()) * time.Millisecond,
		Zone:      m.GetZone(),
		Shard:     m.GetShard(),
		Then:      m.GetThen(),
		InputsAt:  m.GetInputsAt(),
		Workspace: m.GetWorkspace(),
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

package chutequarantine

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"
)

// fullQuarantine returns a quarantine with maxCrashes crashes and eight suspects each. The first
// suspect of each crash is one of a hundred requests that were running at several crashes each.
func fullQuarantine() Quarantine {
	q := New()
	for i := range maxCrashes {
		fingerprints := []string{fmt.Sprintf("%032d", i%100)}
		for n := range 7 {
			fingerprints = append(fingerprints, fmt.Sprintf("%032d", 1000+8*i+n))
		}
		q, _ = q.WithCrash(Crash{
			Upstream: fmt.Sprint("upstream-", i), Pool: "engines", Suspects: suspects(fingerprints...),
		}, true, start.Add(time.Duration(i)*time.Second))
	}

	return q
}

func BenchmarkJudge(b *testing.B) {
	q := fullQuarantine()
	for b.Loop() {
		// One request has become a suspect since the last judgement.
		q.judgeAt, q.newSuspects = start, []string{fmt.Sprintf("%032d", 7)}
		q.Judge(start.Add(maxCrashes * time.Second))
	}
}

func BenchmarkHolds(b *testing.B) {
	q := fullQuarantine()
	for b.Loop() {
		q.QuarantinedUntil("00000000000000000000000000001234")
	}
}

func BenchmarkSizes(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	q := fullQuarantine()
	runtime.GC()
	runtime.ReadMemStats(&after)
	crash, _ := json.Marshal(q.KnownCrash("upstream-7"))
	judgement, _ := json.Marshal(Judgement{
		Suspect: suspects(fmt.Sprintf("%032d", 1))[0], Verdict: VerdictQuarantined, Upstreams: []string{"i-0b451d9786", "i-1623bee6ce", "i-757df45139"},
	})
	for b.Loop() {
		_ = q
	}
	b.ReportMetric(float64(len(crash)), "B/crash-row")
	b.ReportMetric(float64(len(judgement)), "B/judgement-row")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB/full")
	runtime.KeepAlive(q)
}

// quarantineOfEngines returns a quarantine after crashes of engines with 64 running requests each, whose prompts have
// twenty parts, half of which come once, and with a hundred verdicts on parts.
func quarantineOfEngines(crashes int) (Quarantine, Suspect) {
	h := &harness{q: New(), now: start}
	var last Suspect
	for range crashes {
		var requests []Suspect
		for n := range 64 {
			var parts []string
			for i := range 10 {
				parts = append(parts, fmt.Sprintf("%08x", i+n%4), fmt.Sprintf("%08x", 1000*h.requestCount+1000+i))
			}
			last = h.request("team", parts...)
			requests = append(requests, last)
		}
		h.crashUnderRequests("engines", requests...)
		h.advance(time.Second)
	}
	for i := range 100 {
		part := PartElement(fmt.Sprint("bad", i))
		h.q, _ = h.q.WithJudgement(Judgement{
			Suspect: Suspect{Fingerprint: part}, Verdict: VerdictQuarantined, Elements: []string{part}, Upstreams: []string{"a", "b", "c"},
		}, h.now)
	}

	return h.q, last
}

func BenchmarkVerdictOn(b *testing.B) {
	q, s := quarantineOfEngines(1)
	b.ReportMetric(float64(len(s.Parts)), "parts")
	for b.Loop() {
		q.VerdictOn(s, "engines")
	}
}

func BenchmarkWithAnswer(b *testing.B) {
	q, s := quarantineOfEngines(1)
	for b.Loop() {
		q, _ = q.WithAnswer(s, "engines", start)
	}
}

func BenchmarkJudgeEngines(b *testing.B) {
	q, _ := quarantineOfEngines(30)
	crash := q.KnownCrash("u30")
	crash.Upstream = "u31"
	q, _ = q.WithCrash(crash, true, start.Add(time.Hour))
	for b.Loop() {
		q.Judge(start.Add(time.Hour + time.Minute))
	}
}

func BenchmarkPartSizes(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	q, _ := quarantineOfEngines(maxParts / maxCrashParts)
	runtime.GC()
	runtime.ReadMemStats(&after)
	crash, _ := json.Marshal(q.KnownCrash("u9"))
	for b.Loop() {
		_ = q
	}
	b.ReportMetric(float64(len(crash)), "B/crash-row")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB/full")
	runtime.KeepAlive(q)
}

// BenchmarkJudgeInvented judges four crashes under the same sixteen requests with 32 parts each that nobody else has.
func BenchmarkJudgeInvented(b *testing.B) {
	h := &harness{q: New(), now: start}
	var requests []Suspect
	for range 16 {
		var parts []string
		for range 32 {
			parts = append(parts, fmt.Sprint(h.requestCount, "-", len(parts)))
		}
		requests = append(requests, h.request("team", parts...))
	}
	for range minCrashesOfPair {
		h.now = h.now.Add(time.Second)
		h.crashUnderRequests("engines", requests...)
	}
	for b.Loop() {
		_, judgements, _ := h.q.Judge(h.now.Add(time.Second))
		b.ReportMetric(float64(len(judgements)), "verdicts")
	}
}

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

package chutecost

import (
	"fmt"
	"testing"
	"time"
)

// fullEstimator returns an estimator with as many keys as are kept, and requests of workspaces that have samples.
func fullEstimator() (Estimator, []Request, time.Time) {
	e, now := New(), start
	var requests []Request
	for i := range 2 * maxKeys {
		now = now.Add(time.Millisecond)
		r := newRequest(fmt.Sprint("w", i))
		e = e.WithAnswer(r, 1+i%170, now)
		if i >= 3*maxKeys/2 {
			requests = append(requests, r)
		}
	}

	return e, requests, now
}

func BenchmarkEstimate(b *testing.B) {
	e, requests, now := fullEstimator()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		e.Estimate(requests[i%len(requests)], now)
	}
}

func BenchmarkWithAnswer(b *testing.B) {
	e, requests, now := fullEstimator()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		e = e.WithAnswer(requests[i%len(requests)], 1+i%170, now)
	}
}

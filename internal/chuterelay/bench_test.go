package chuterelay

import (
	"fmt"
	"testing"
	"time"

	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteroute"
)

// BenchmarkPlainRequest is the reducer's part of one relayed request: arrival, call, end.
func BenchmarkPlainRequest(b *testing.B) {
	n := newNode(b)
	b.ReportAllocs()
	for i := range uint64(b.N) {
		n.on(Arrived{Submission: plainRequest(i+1, chuteroute.Repeatable)})
		s := takeAll[Send](n)[0]
		n.endCall(s, EndAnswered)
		n.effects = nil
		n.now = n.now.Add(time.Microsecond)
	}
}

// BenchmarkCollector is the collector's part of one job of eight parts while others wait.
func BenchmarkCollector(b *testing.B) {
	for _, waiting := range []int{0, 100, 400} {
		b.Run(fmt.Sprint(waiting, " jobs wait"), func(b *testing.B) {
			n := newNode(b)
			n.on(UpstreamsListed{Upstreams: manyUpstreams(15)})
			for token := range waiting {
				// Their urgency is the lowest, so that they stay waiting.
				job := peerJob("waits", 1000)
				job.Priority = 9
				n.on(JobReceived{Token: uint64(token + 1), Job: job})
			}
			running := takeAll[RunCall](n)
			b.ReportAllocs()
			for i := range b.N {
				token := uint64(1_000_000 + i)
				n.on(JobReceived{Token: token, Job: peerJob("r", 8)})
				running = append(running, takeAll[RunCall](n)...)
				n.answerCall(running[0])
				running = append(running[1:], takeAll[RunCall](n)...)
				n.on(JobCancelled{Token: token})
				n.effects = nil
			}
		})
	}
}

func manyUpstreams(count int) []chutefleet.Upstream {
	var all []chutefleet.Upstream
	for i := range count {
		all = append(all, chutefleet.Upstream{
			ID: fmt.Sprint("u", i), Name: fmt.Sprint("u", i), Pool: partPool, Address: "a", Zone: "z1", State: chutefleet.StateReady,
		})
	}

	return all
}

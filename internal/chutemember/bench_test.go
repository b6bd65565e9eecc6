package chutemember

import (
	"fmt"
	"testing"
	"time"
)

var benchSizes = []int{9, 100, 400}

// settled is a network whose nodes all know each other and report eight pools.
func settled(count int) *network {
	w := newNetwork(8)
	w.grow(count)
	all := w.nodes["entry-000"]
	for _, name := range w.names() {
		all, _ = all.Merge(full(w.nodes[name]), name, w.now)
	}
	everything := full(all)
	for _, name := range w.names() {
		s, _ := w.nodes[name].Merge(everything, "entry-000", w.now)
		for pool := range 8 {
			s = s.WithPoolLoad(s.Self().Zone, fmt.Sprint("pool-", pool), 1)
		}
		w.nodes[name] = s
	}
	w.steps(60)
	return w
}

// pair is two nodes of one zone that have each heard of others since they last met.
func pair(count int) (a, b Set, now time.Time) {
	w := settled(count)
	return w.nodes["entry-000"], w.nodes["entry-005"], w.now
}

func BenchmarkDeltaFor(b *testing.B) {
	for _, count := range benchSizes {
		one, other, _ := pair(count)
		for _, scope := range []Scope{ScopeNews, ScopeZone, ScopeAll} {
			b.Run(fmt.Sprintf("%s/%d", scope, count), func(b *testing.B) {
				b.ReportAllocs()
				digest := other.digestOf(scope)
				var d Delta
				for b.Loop() {
					d = one.DeltaFor("entry-005", digest, 8<<10)
				}
				b.ReportMetric(float64(digest.Size()), "digest-bytes")
				b.ReportMetric(float64(d.Size()), "delta-bytes")
			})
		}
	}
}

func BenchmarkOpen(b *testing.B) {
	for _, count := range benchSizes {
		one, other, _ := pair(count)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			peer := peerOf(other.Self(), ScopeAll)
			for b.Loop() {
				one.Open(peer, 8<<10)
			}
		})
	}
}

func BenchmarkMerge(b *testing.B) {
	for _, count := range benchSizes {
		one, other, now := pair(count)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			d := one.DeltaFor("entry-005", other.Digest(), 8<<10)
			for b.Loop() {
				other.Merge(d, "entry-000", now)
			}
		})
	}
}

func BenchmarkHeartbeatAndPlan(b *testing.B) {
	for _, count := range benchSizes {
		w := settled(count)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			s := w.nodes["entry-000"]
			for b.Loop() {
				s.WithHeartbeat(w.now.Add(time.Second)).Plan(w.now, w.random.IntN)
			}
		})
	}
}

// BenchmarkTraffic runs nodes against each other for a minute of their time
// with one change of configuration, one leaving mark, and ledger rows of 4 KB,
// and reports what a node sends and receives for it.
func BenchmarkTraffic(b *testing.B) {
	const minute = 60
	for _, count := range benchSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			w := settled(count)
			w.adopt = true
			round := uint64(0)
			ages := map[bool]time.Duration{}
			w.exchanges, w.calls, w.bytes, w.largest = 0, 0, 0, 0
			slowest := 0
			for b.Loop() {
				round++
				took := w.change(b, round)
				slowest = max(slowest, took)
				w.steps(minute - took)
				for sameZone, age := range w.ages() {
					ages[sameZone] = max(ages[sameZone], age)
				}
			}
			nodeSeconds := float64(count * minute * int(round))
			b.ReportMetric(2*float64(w.bytes)/nodeSeconds, "bytes/node/s")
			b.ReportMetric(float64(w.bytes)/float64(w.exchanges), "bytes/exchange")
			b.ReportMetric(float64(w.largest), "largest-message")
			b.ReportMetric(2*float64(w.exchanges)/nodeSeconds, "exchanges/node/s")
			b.ReportMetric(2*float64(w.calls)/nodeSeconds, "calls/node/s")
			b.ReportMetric(ages[true].Seconds(), "own-zone-age-s")
			b.ReportMetric(ages[false].Seconds(), "other-zone-age-s")
			b.ReportMetric(float64(slowest), "config-spread-s")
		})
	}
}

// change alters something at some nodes and returns the seconds until the configuration is in force everywhere.
func (w *network) change(b *testing.B, round uint64) int {
	for _, name := range w.names() {
		s := w.nodes[name]
		next, err := s.WithLedgerRow(s.Self().Incarnation, round, make([]byte, 4<<10))
		if err != nil {
			b.Fatal(err)
		}
		for pool := range 8 {
			next = next.WithPoolLoad(s.Self().Zone, fmt.Sprint("pool-", pool), w.random.IntN(50))
		}
		w.nodes[name] = next
	}
	w.nodes["entry-001"] = w.nodes["entry-001"].WithConfig(round, fmt.Sprintf("%064d", round)).
		WithLeavingMark(fmt.Sprint("engine-", round), "engine-incarnation")
	for took := 1; ; took++ {
		w.steps(1)
		everywhere := true
		for _, s := range w.nodes {
			everywhere = everywhere && s.Config().Version == round
		}
		if everywhere {
			return took
		}
	}
}

// ages is the oldest heartbeat that any node holds of another, of the same zone and of other zones.
func (w *network) ages() map[bool]time.Duration {
	ages := map[bool]time.Duration{}
	for _, s := range w.nodes {
		for _, n := range s.allNodes() {
			same := n.member.Zone == s.Self().Zone
			ages[same] = max(ages[same], s.age(n, w.now))
		}
	}
	return ages
}

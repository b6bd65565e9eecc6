package chuterouting

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"azurechute.example/azurechute/internal/chuterequest"
)

var benchStart = time.Unix(1_800_000_000, 0)

// benchTable has n upstreams of one pool in the own zone, with reports and learned times.
func benchTable(n int) Table {
	t := NewTable(Settings{OwnZone: "a", Pools: map[string]PoolSettings{"p": {Slots: 8, PrefillShare: 0.3}}})
	list := make([]Listed, n)
	for i := range list {
		list[i] = Listed{Name: fmt.Sprint("u", i), Address: fmt.Sprint("127.0.0.1:", i), Zone: "a", Pool: "p"}
	}
	t = t.WithList(list, benchStart)
	for i, l := range list {
		t = t.WithReport(l.Name, chuterequest.Load{InFlight: i % 6, Slots: 8}, benchStart)
		t = t.WithDispatched(l.Name, benchStart)
		t = t.WithFinished(l.Name, "s", 100*time.Millisecond, 10, benchStart)
	}

	return t
}

func eachSize(b *testing.B, run func(b *testing.B, t Table)) {
	for _, n := range []int{10, 100, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t := benchTable(n)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, t)
		})
	}
}

func benchBlocks(prompt int) []uint64 {
	blocks := make([]uint64, 32)
	for i := range blocks {
		blocks[i] = uint64(prompt*1000+i) * 0x9e3779b97f4a7c15
	}

	return blocks
}

func BenchmarkChoose(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2)).IntN
	eachSize(b, func(b *testing.B, t Table) {
		for range b.N {
			_, _ = t.Choose(Query{Pool: "p", Stage: "s", Now: benchStart}, random)
		}
	})
}

func BenchmarkChooseWithBlocks(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2)).IntN
	eachSize(b, func(b *testing.B, t Table) {
		for i := range 100 {
			t = t.WithCached(fmt.Sprint("u", i%10), benchBlocks(i), 0)
		}
		q := Query{Pool: "p", Stage: "s", Now: benchStart, Blocks: benchBlocks(7)}
		b.ResetTimer()
		for range b.N {
			_, _ = t.Choose(q, random)
		}
	})
}

func BenchmarkFree(b *testing.B) {
	eachSize(b, func(b *testing.B, t Table) {
		for range b.N {
			_ = t.Free(Query{Pool: "p", Stage: "s", Now: benchStart})
		}
	})
}

func BenchmarkDispatchedFinished(b *testing.B) {
	eachSize(b, func(b *testing.B, t Table) {
		for range b.N {
			t = t.WithDispatched("u5", benchStart)
			t = t.WithFinished("u5", "s", 100*time.Millisecond, 10, benchStart)
		}
	})
}

func BenchmarkReport(b *testing.B) {
	eachSize(b, func(b *testing.B, t Table) {
		for range b.N {
			t = t.WithReport("u5", chuterequest.Load{InFlight: 3, Slots: 8}, benchStart)
		}
	})
}

// BenchmarkCached takes in answers to ever new prompts of 32 blocks.
func BenchmarkCached(b *testing.B) {
	eachSize(b, func(b *testing.B, t Table) {
		for i := range b.N {
			t = t.WithCached("u5", benchBlocks(i), 10)
		}
	})
}

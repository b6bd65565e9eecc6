package chuteconfig

import (
	"fmt"
	"testing"
	"time"
)

// benchWorkspaces are sizes up to the number of workspaces that the project is designed for.
var benchWorkspaces = []int{1_000, 10_000, 37_000}

// benchSet is one site with nine pipelines of four stages, 26 models and many workspaces of one token each.
func benchSet(workspaces int) Set {
	cfg := Config{
		Site: "bench", Policy: DefaultPolicy(), Limits: DefaultLimits(),
		Zones: map[string]Zone{}, Teams: map[string]Team{}, Workspaces: map[string]Workspace{},
		Models: map[string]Model{}, Pipelines: map[string]Pipeline{}, Placements: map[string]Placement{},
		Pools: map[string]Pool{
			"model":   {Kind: PoolEngine, Slots: 16, UnitPrice: 20, PromptUnitPrice: 4, Typical: Duration(800 * time.Millisecond)},
			"encoder": {Kind: PoolEncoder, Slots: 8, UnitPrice: 2, Typical: Duration(15 * time.Millisecond)},
		},
	}
	for i := range 5 {
		cfg.Zones[fmt.Sprintf("zone-%d", i)] = Zone{Region: fmt.Sprintf("region-%d", i/3)}
	}
	for i := range 26 {
		model := fmt.Sprintf("model-%02d", i)
		cfg.Models[model] = Model{Version: "2026.11"}
		cfg.Placements[model] = Placement{
			Zone: fmt.Sprintf("zone-%d", i%5), Pool: "model", Model: model, Role: RoleMixed, Replicas: 20,
		}
	}
	for i := range 9 {
		team := fmt.Sprintf("team-%d", i)
		cfg.Teams[team] = Team{Weight: 1}
		pipeline := Pipeline{Team: team, Deadline: Duration(5 * time.Second)}
		for j := range 3 {
			pipeline.Stages = append(pipeline.Stages, Stage{Name: fmt.Sprintf("stage-%d", j), Pool: "encoder"})
		}
		pipeline.Stages = append(pipeline.Stages, Stage{Name: "generate", Pool: "model", Model: "model-00", MaxTokens: 256})
		cfg.Pipelines[fmt.Sprintf("pipeline-%d", i)] = pipeline
	}
	for i := range workspaces {
		name := fmt.Sprintf("workspace-%05d", i)
		cfg.Workspaces[name] = Workspace{
			Team: fmt.Sprintf("team-%d", i%9), TokenDigests: []string{TokenDigest(name)}, Weight: 1,
		}
	}

	return Set{Version: 1, Sites: map[string]Config{"bench": cfg}}
}

// BenchmarkEncodeSet reports the size of a set as it is stored and handed from peer to peer.
func BenchmarkEncodeSet(b *testing.B) {
	for _, n := range benchWorkspaces {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			set := benchSet(n)
			b.ReportAllocs()
			var body []byte
			for b.Loop() {
				body = EncodeSet(set)
			}
			b.ReportMetric(float64(len(body)), "set-bytes")
		})
	}
}

// BenchmarkDecodeSet reads what a node fetches at each change, with no bound on
// the size, and reports as over-limit 1 where DecodeSet refuses it.
func BenchmarkDecodeSet(b *testing.B) {
	for _, n := range benchWorkspaces {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			body := EncodeSet(benchSet(n))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := decodeStrict[Set](body, len(body)); err != nil {
					b.Fatal(err)
				}
			}
			over := 0.0
			if _, err := DecodeSet(body); err != nil {
				over = 1
			}
			b.ReportMetric(over, "over-limit")
		})
	}
}

// BenchmarkCheckSet checks a set as config check and apply do.
func BenchmarkCheckSet(b *testing.B) {
	for _, n := range benchWorkspaces {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			set := benchSet(n)
			if findings := CheckSet(set); len(findings) > 0 {
				b.Fatal(findings[0])
			}
			for b.Loop() {
				CheckSet(set)
			}
		})
	}
}

package chutegate

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"azurechute.example/azurechute/internal/chutecanary"
	"azurechute.example/azurechute/internal/chutecore"
	"azurechute.example/azurechute/internal/chutecost"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chutememory"
	"azurechute.example/azurechute/internal/chuterelay"
)

// addGauges registers the gauges, which are computed whenever metrics are requested.
func (n *Node) addGauges() {
	n.meter.Gauge("ready", func() float64 { return boolToFloat(n.Ready()) })
	n.meter.Gauge("draining", func() float64 { return boolToFloat(n.Draining()) })
	n.meter.Gauge("config_version", func() float64 {
		cfg, _ := n.Config()

		return float64(cfg.Version)
	})
	n.meter.Gauge("unreadable_entries_total", func() float64 { return float64(n.unreadableEntries.Load()) })
	n.meter.Gauge("config_age_seconds", func() float64 {
		age, known := n.localTables[n.settings.Tables.Config].age(n.Now())
		if !known {
			return -1
		}

		return age.Seconds()
	})
	n.meter.Gauge("store_era", func() float64 {
		era := uint64(0)
		for _, local := range n.localTables {
			era = max(era, local.snapshot().Era())
		}

		return float64(era)
	})
	n.meter.Gauge("refused_by_stale_config_total", func() float64 { return float64(n.staleRefusals.Load()) })
	n.meter.Gauge("zones_evacuated", func() float64 { return float64(n.evacuatedZoneCount.Load()) })
	n.addUpstreamGauges()
	n.addCostGauges()
	n.addRoomGauges()
	n.storeCalls.addGauges(n.meter.Gauge)
	n.addStreamGauges()
	n.addWorkGauges()
	n.addMemoryGauges()
	n.meter.Gauge("upstreams_ended_under_requests_total", func() float64 { return float64(n.upstreamCrashes.Load()) })
	n.meter.Gauge("requests_quarantined", func() float64 {
		held := 0
		n.Query(func(s chutecore.State) { held = len(s.Relay().Quarantine().Quarantined(n.Now())) })

		return float64(held)
	})
	n.meter.Gauge("rollouts_in_progress", func() float64 {
		inProgress := 0
		n.Query(func(s chutecore.State) { inProgress = s.Relay().RolloutsInProgress() })

		return float64(inProgress)
	})
	n.meter.Gauge("nodes_listed", func() float64 { return float64(len(n.listedPeers())) })
	n.addLinkGauges()
	n.meter.Gauge("peer_bytes_sent_total", func() float64 { return float64(n.peers.Traffic.Sent()) })
	n.meter.Gauge("peer_bytes_received_total", func() float64 { return float64(n.peers.Traffic.Received()) })
	n.meter.Gauge("events_waiting", func() float64 { return float64(len(n.messages)) })
	n.meter.Gauge("requests_in_flight", func() float64 {
		inFlight := 0
		n.Query(func(s chutecore.State) { inFlight = s.Relay().InFlight() })

		return float64(inFlight)
	})
}

// addLinkGauges registers the gauges about this node's links to upstreams and what other nodes do without theirs.
func (n *Node) addLinkGauges() {
	n.meter.Gauge("cut_off_from_upstreams", func() float64 { return boolToFloat(n.cutOff.Load()) })
	n.meter.Gauge("cut_off_from_upstreams_total", func() float64 { return float64(n.cutOffs.Load()) })
	n.meter.Gauge("upstream_link_probes_total", func() float64 { return float64(n.linkProbes.Load()) })
	n.meter.Gauge("upstream_link_probes_failed_total", func() float64 { return float64(n.failedLinkProbes.Load()) })
	n.meter.Gauge("forwarded_requests_served_total", func() float64 { return float64(n.forwardedServed.Load()) })
}

// addUpstreamGauges registers the gauges about upstreams.
func (n *Node) addUpstreamGauges() {
	n.meter.Gauge("upstreams_cold", func() float64 {
		cold := 0
		n.Query(func(s chutecore.State) { cold = s.Relay().Fleet().ColdCount(n.Now()) })

		return float64(cold)
	})
	n.meter.Gauge("upstreams_limited", func() float64 {
		limited := 0
		n.Query(func(s chutecore.State) { limited = s.Relay().Fleet().LimitedCount() })

		return float64(limited)
	})
	n.meter.Gauge("upstreams_say_leaving", func() float64 {
		leaving := 0
		n.Query(func(s chutecore.State) { leaving = s.Relay().Fleet().SayLeavingCount() })

		return float64(leaving)
	})
	n.meter.Gauge("upstreams_resting", func() float64 {
		resting := 0
		n.Query(func(s chutecore.State) { resting = s.Relay().Fleet().RestingCount(n.Now()) })

		return float64(resting)
	})
}

// addCostGauges registers the gauges about what is learned of requests' costs. About a tenth of the answers exceed their
// upper estimates where estimates are right.
func (n *Node) addCostGauges() {
	counts := func() chutecost.Counts {
		var counts chutecost.Counts
		n.Query(func(s chutecore.State) { counts = s.Relay().CostCounts() })

		return counts
	}
	n.meter.Gauge("cost_keys", func() float64 { return float64(counts().Keys) })
	n.meter.Gauge("cost_keys_evicted_total", func() float64 { return float64(counts().Evicted) })
	n.meter.Gauge("cost_answers_total", func() float64 { return float64(counts().Answers) })
	n.meter.Gauge("cost_answers_above_upper_total", func() float64 { return float64(counts().Exceeded) })
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}

	return 0
}

// WriteState writes the state that the node bases its decisions on, as JSON. It returns the error
// of the writer.
func (n *Node) WriteState(w io.Writer) error {
	dump := stateDump{Tables: map[string]tableView{}, CallerMemory: n.memory.View()}
	n.Query(func(s chutecore.State) { dump.View = s.Relay().View(n.Now()) })
	for name, local := range n.localTables {
		dump.Tables[name] = local.view()
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")

	return encoder.Encode(dump)
}

// stateDump is the state that a node bases its decisions on.
type stateDump struct {
	chuterelay.View

	Tables map[string]tableView
	// CallerMemory is what the node holds for callers; nil if nothing bounds that.
	CallerMemory *chutememory.View `json:",omitempty"`
}

// tableView describes a node's copy of a table in a state dump.
type tableView struct {
	Era     uint64
	Version uint64
	Rows    int
	// Retained is the number of rows that the store has lost by coming back from a copy and that still
	// count.
	Retained int `json:",omitempty"`
	// AgeMs is the time since the copy was known to be up to date, -1 if it never was.
	AgeMs int64
}

func (local *localTable) view() tableView {
	table, retained := local.snapshot(), local.lostRows()
	view := tableView{Era: table.Era(), Version: table.Version(), Rows: table.Len(), Retained: len(retained), AgeMs: -1}
	if age, known := local.age(local.now()); known {
		view.AgeMs = age.Milliseconds()
	}

	return view
}

// WriteMetrics writes all metrics as text. It returns the error of the writer.
func (n *Node) WriteMetrics(w io.Writer) error {
	if err := n.meter.Write(w); err != nil {
		return err
	}

	return n.writeRolloutMetrics(w)
}

// writeRolloutMetrics writes this node's counts of the rollouts that are in progress or were last.
func (n *Node) writeRolloutMetrics(w io.Writer) error {
	var tallies map[string]chutecanary.Tally
	n.Query(func(s chutecore.State) { tallies = s.Relay().RolloutTallies() })
	for _, pool := range slices.Sorted(maps.Keys(tallies)) {
		for _, pipeline := range slices.Sorted(maps.Keys(tallies[pool])) {
			pair := tallies[pool][pipeline]
			if err := writeRolloutCounts(w, pool, pipeline, chutefleet.SideOld, pair.Old); err != nil {
				return err
			}
			if err := writeRolloutCounts(w, pool, pipeline, chutefleet.SideNew, pair.New); err != nil {
				return err
			}
		}
	}

	return nil
}

func writeRolloutCounts(w io.Writer, pool, pipeline string, side chutefleet.Side, counts chutecanary.Counts) error {
	labels := fmt.Sprintf("pool=%q,pipeline=%q,side=%q", pool, pipeline, string(side))
	_, err := fmt.Fprintf(w, "azurechute_rollout_calls_total{%s} %d\nazurechute_rollout_failures_total{%s} %d\n",
		labels, counts.Sent, labels, counts.Failures)

	return err
}

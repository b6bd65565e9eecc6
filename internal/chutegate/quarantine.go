package chutegate

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chutequarantine"
	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteshare"
)

const (
	// upstreamProbeTimeout bounds the check whether an upstream's process has ended. A refused
	// connection takes one round trip to the VM, and the caller's request waits for it before it is
	// sent elsewhere.
	upstreamProbeTimeout = 100 * time.Millisecond
	// reportBatchDelay is how long reports are collected before they are sent. An engine that
	// crashes breaks tens of calls within milliseconds.
	reportBatchDelay = 10 * time.Millisecond
	// reportRetryPause is the mean pause after the first failed write of reports. It doubles with
	// each further failure up to maxReportRetryPause, which is short enough for all nodes to have
	// written theirs within 3 s of the store's return.
	reportRetryPause    = 250 * time.Millisecond
	maxReportRetryPause = time.Second
	// gossipFanout is the number of peers that a new report is sent to, without waiting for the
	// store. gossipHops is the number of times that peers pass on what is new to them.
	gossipFanout = 16
	gossipHops   = 2
	// gossipRetryFanout is the number of peers that reports are sent to after each failed write to
	// the store, some 3 KB a second.
	gossipRetryFanout = 4
	// maxLoggedParts is the number of parts of prompts that one log line names.
	maxLoggedParts = 24
	// quarantineReadInterval is the minimum time between two reads of the quarantine table.
	quarantineReadInterval = 100 * time.Millisecond
	// purgeInterval is the time between two searches for old rows. maxQuarantineRows is the number
	// of rows above which the oldest crashes are removed before they expire: 8,192 rows take some 6
	// MB at each node.
	purgeInterval = time.Minute
	// quarantineRetainPeriod is how long rows are known that the store has lost; all nodes that have them
	// write them again in that time.
	quarantineRetainPeriod = 3 * rewriteSpread
	maxQuarantineRows      = 8192
)

// checkUpstream returns what the address of an upstream shows after a call to it broke. AddressRefuses means that
// its process has ended, as opposed to just a connection to it.
func (n *Node) checkUpstream(ctx context.Context, u chutefleet.Upstream) AddressState {
	ctx, cancel := context.WithTimeout(ctx, upstreamProbeTimeout)
	defer cancel()
	state := n.upstreams.ProbeAddress(ctx, u.Address)
	if state == AddressRefuses && !n.reachesOtherUpstream(ctx, u) {
		return AddressSilent
	}

	return state
}

// performQuarantineEffect performs the effects that concern requests which make upstreams crash.
func (n *Node) performQuarantineEffect(effect chuterelay.Effect) {
	switch e := effect.(type) {
	case chuterelay.AnnounceCrash:
		n.queueReport(chutequarantine.CrashKey(e.Crash.Upstream, n.settings.Self.Name), e.Crash)
	case chuterelay.AnnounceJudgement:
		n.queueReport(chutequarantine.JudgementKey(e.Judgement.Fingerprint), e.Judgement)
	case chuterelay.AnnounceLimit:
		n.queueReport(chutefleet.LimitKey(e.Limit.Upstream), e.Limit)
	case chuterelay.LogCrash:
		n.upstreamCrashes.Add(1)
		n.logCrash(e)
	case chuterelay.LogJudgement:
		n.logJudgement(e)
	case chuterelay.JudgeAt:
		n.sendEventAt(e.At, chuterelay.JudgeDue{})
	default:
		n.performRolloutEffect(effect)
	}
}

// logJudgement logs a judgement with its evidence. A part that a verdict is on is among the elements.
func (n *Node) logJudgement(e chuterelay.LogJudgement) {
	j := e.Judgement
	line := n.log.Warn().Str("Fingerprint", j.Fingerprint).Str("Workspace", j.Workspace).Str("Pipeline", j.Pipeline).
		Str("Verdict", string(j.Verdict)).Strs("Upstreams", j.Upstreams[:min(len(j.Upstreams), maxLoggedParts)]).Int("Crashes", len(j.Upstreams))
	if len(j.Elements) > 0 {
		line = line.Strs("Elements", partsForLog(j.Elements)).Strs("Workspaces", j.Workspaces).Strs("Pools", j.Pools)
	}
	if e.Since > 0 {
		line = line.Int64("SinceMs", e.Since.Milliseconds()).Int("SurvivedCrashes", e.Survived)
	}
	line.Bool("Heard", e.Announced).Msg("request judged")
}

// logCrash logs one line for each upstream that ended, and one for further suspects of that crash.
func (n *Node) logCrash(e chuterelay.LogCrash) {
	suspects := make([]string, 0, len(e.Crash.Suspects))
	survived := make([]int, 0, len(e.Crash.Suspects))
	var parts []string
	for _, s := range e.Crash.Suspects {
		suspects = append(suspects, s.Fingerprint)
		survived = append(survived, s.Survived)
		parts = append(parts, s.Parts...)
	}
	slices.Sort(parts)
	parts = slices.Compact(parts)
	n.log.Warn().Str("Upstream", e.Crash.Upstream).Str("Pool", e.Crash.Pool).Strs("Suspects", suspects).Ints("Survived", survived).
		Strs("PromptParts", partsForLog(parts)).
		Str("Evidence", e.Evidence).Msg("upstream ended under requests")
}

// partsForLog returns the first parts of prompts, as many as one log line names.
func partsForLog(parts []string) []string {
	return parts[:min(len(parts), maxLoggedParts)]
}

// queueReport queues a crash, a judgement or a limit for the other nodes and for the store.
//
// The store keeps it for nodes that start later; gossip also works without the store.
func (n *Node) queueReport(key string, report any) {
	value, err := json.Marshal(report)
	if err != nil {
		n.log.Error().Err(err).Str("Key", key).Msg("a report can't be encoded")

		return
	}
	row := chutefeed.Row{Key: key, Value: value}
	n.knownReports.addIfNew(row)
	if !n.gossipQueue.add(row) || !n.storeQueue.add(row) {
		n.log.Error().Str("Key", key).Msg("too many reports wait for the store; this one is not written")
	}
}

// awaitReports waits until a queue has rows and for reportBatchDelay after that, because reports
// come in bursts. It returns false if ctx ended first.
func (n *Node) awaitReports(ctx context.Context, q *reportQueue) bool {
	select {
	case <-ctx.Done():
		return false
	case <-q.ready:
		return n.sleep(ctx, reportBatchDelay)
	}
}

// gossipReports sends this node's reports to other nodes.
func (n *Node) gossipReports(ctx context.Context) {
	for n.awaitReports(ctx, n.gossipQueue) {
		if rows := n.gossipQueue.takeBatch(); len(rows) > 0 {
			n.gossip(rows, gossipHops)
		}
	}
}

// storeReports writes this node's reports to the store, and repeats each write until it succeeds.
func (n *Node) storeReports(ctx context.Context) {
	failures := 0
	for n.awaitReports(ctx, n.storeQueue) {
		rows := n.storeQueue.takeBatch()
		if len(rows) == 0 {
			continue
		}
		put := make([]Row, 0, len(rows))
		for _, row := range rows {
			put = append(put, Row{Key: row.Key, Value: row.Value})
		}
		err := n.writeQuarantine(ctx, put, nil)
		if err == nil {
			failures = 0

			continue
		}
		n.storeQueue.requeue(rows)
		// Gossip calls can get lost, and without the store nothing else delivers the reports.
		n.gossipToPeers(chuteshare.Announcement{Table: n.settings.Tables.Quarantine, Rows: rows, Hops: gossipHops}, gossipRetryFanout)
		n.log.Warn().Err(err).Int("Rows", len(rows)).Msg("reports could not be written to the store; they are tried again")
		if !n.sleep(ctx, jittered(min(maxReportRetryPause, reportRetryPause<<min(failures, 8)))) {
			return
		}
		failures++
	}
}

// writeQuarantine writes and removes rows of the quarantine table in one transaction.
func (n *Node) writeQuarantine(ctx context.Context, put []Row, remove []string) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	n.storeCalls.add(callQuarantine)

	return n.store.WriteRows(ctx, n.settings.Tables.Quarantine, put, remove)
}

// gossip sends rows to gossipFanout random other nodes, or to all if there are no more than that.
func (n *Node) gossip(rows []chutefeed.Row, hops int) {
	n.gossipToPeers(chuteshare.Announcement{Table: n.settings.Tables.Quarantine, Rows: rows, Hops: hops}, gossipFanout)
}

// gossipToPeers sends rows to random other nodes, chosen anew at each call; fanout is their number.
func (n *Node) gossipToPeers(told chuteshare.Announcement, fanout int) {
	peers, all := n.randomPeers(fanout)
	if all {
		// Every node gets the rows from this one, so nobody has to pass them on.
		told.Hops = 0
	}
	for _, peer := range peers {
		n.spawn(func(ctx context.Context) { n.tellPeer(ctx, peer, told) })
	}
}

// randomPeers returns other listed nodes, at most limit of them, and whether these are all.
func (n *Node) randomPeers(limit int) (peers []chuterelay.Peer, all bool) {
	peers = slices.DeleteFunc(n.listedPeers(), func(p chuterelay.Peer) bool { return p.Name == n.settings.Self.Name })
	if len(peers) <= limit {
		return peers, true
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] }) //nolint:gosec // spreads gossip, no secret

	return peers[:limit], false
}

// tellPeer sends rows to a peer and returns once it has them or the call has failed.
func (n *Node) tellPeer(ctx context.Context, peer chuterelay.Peer, told chuteshare.Announcement) {
	if err := n.peers.Tell(ctx, peer.Address, told); err != nil {
		n.log.Debug().Err(err).Str("Peer", peer.Name).Str("Table", told.Table).Msg("rows could not be sent to a peer; it reads them from the store")
	}
}

// receiveReports accepts rows from another node and passes on those that are new.
func (n *Node) receiveReports(told chuteshare.Announcement) {
	table, rows, hops := told.Table, told.Rows, told.Hops
	if n.settings.Rollouts.Enabled() && table == n.settings.Tables.Rollouts {
		n.receiveRolloutRows(told)

		return
	}
	if table == n.settings.Tables.Ledger {
		if !n.departedLedgers.add(rows, n.Now()) {
			n.log.Warn().Int("Rows", len(rows)).Msg("too many cost counters of nodes that shut down; these are not kept")
		}

		return
	}
	if table != n.settings.Tables.Quarantine {
		return
	}
	rows = slices.DeleteFunc(rows, func(row chutefeed.Row) bool { return !n.knownReports.addIfNew(row) })
	if len(rows) == 0 {
		return
	}
	n.sendQuarantineRows(rows)
	if hops > 0 {
		n.gossip(rows, hops-1)
	}
}

// watchQuarantine keeps the crashes, judgements and limits up to date with the store.
func (n *Node) watchQuarantine(ctx context.Context) {
	local := n.localTables[n.settings.Tables.Quarantine]
	n.spawn(func(ctx context.Context) { n.purgeOldRows(ctx, local) })
	local.onRestored = func(before, after chutefeed.Table) {
		n.tableRestored(local.name, before, after)
		n.spawn(func(ctx context.Context) { n.rewriteQuarantine(ctx, local) })
	}
	var previous chutefeed.Table
	markLoaded := sync.OnceFunc(func() { close(n.quarantineLoaded) })
	n.keepCurrent(ctx, local, peersPollWait, quarantineReadInterval, func() {
		table := local.effective()
		newRows := table.ChangeSince(previous).Rows
		previous = table
		for _, row := range newRows {
			n.knownReports.addIfNew(row)
		}
		if len(newRows) > 0 {
			n.sendQuarantineRows(newRows)
		}
		if table.Version() > 0 {
			markLoaded()
		}
	})
}

// rewriteQuarantine writes the rows again that the store has lost by coming back from a copy. The nodes that
// read the store do so at once, the others only what is still missing some time later.
func (n *Node) rewriteQuarantine(ctx context.Context, local *localTable) {
	delay := time.Duration(0)
	if _, follows := n.source(); follows {
		delay = rewriteSpread + time.Duration(rand.Int64N(int64(rewriteSpread))) //nolint:gosec // spreads writes, no secret
	}
	if !n.sleep(ctx, delay) {
		return
	}
	lost := local.lostRows()
	for _, row := range lost {
		if !n.storeQueue.add(row) {
			n.log.Error().Str("Key", row.Key).Msg("too many reports wait for the store; this one is not written again")
		}
	}
	if len(lost) > 0 {
		n.log.Warn().Int("Rows", len(lost)).Msg("reports that the store has lost are written again")
	}
}

// sendQuarantineRows queues rows for the event loop and leaves out those that can't be decoded.
func (n *Node) sendQuarantineRows(rows []chutefeed.Row) {
	var reports chuterelay.QuarantineAnnounced
	var limits chuterelay.LimitsAnnounced
	for _, row := range rows {
		limit, isLimit, limitErr := chutefleet.DecodeLimitRecord(row.Key, row.Value)
		if isLimit {
			limits.Limits = append(limits.Limits, limit)
		}
		crash, isCrash, err := chutequarantine.DecodeCrash(row.Key, row.Value)
		judgement, isJudgement, judgementErr := chutequarantine.DecodeJudgement(row.Key, row.Value)
		if isCrash {
			reports.Crashes = append(reports.Crashes, crash)
		}
		if isJudgement {
			reports.Judgements = append(reports.Judgements, judgement)
		}
		if err := errors.Join(err, judgementErr, limitErr); err != nil {
			n.log.Error().Err(err).Str("Key", row.Key).Msg("a crash, judgement or limit can't be decoded; it is left out")
		}
	}
	if len(limits.Limits) > 0 {
		n.sendEvent(limits)
	}
	if len(reports.Crashes)+len(reports.Judgements) > 0 {
		n.sendEvent(reports)
	}
}

// purgeOldRows removes old rows from the store, if this node is one that reads the store itself.
func (n *Node) purgeOldRows(ctx context.Context, local *localTable) {
	firstSeen := map[string]time.Time{}
	for n.sleep(ctx, purgeInterval) {
		old := rowsToPurge(local.snapshot(), firstSeen, n.Now())
		if _, follows := n.source(); follows || len(old) == 0 {
			continue
		}
		if err := n.writeQuarantine(ctx, nil, old); err != nil {
			n.log.Warn().Err(err).Int("Rows", len(old)).Msg("old reports could not be removed; they are tried again")
		}
	}
}

// rowsToPurge returns the keys of the rows to remove, up to maxReportsPerBatch: rows that have been
// there for chutequarantine.TTL, and the oldest crashes if there are more than maxQuarantineRows
// rows. It records in firstSeen when this node first saw each row.
func rowsToPurge(table chutefeed.Table, firstSeen map[string]time.Time, now time.Time) []string {
	var old []string
	var crashes []chutefeed.Row
	for _, row := range table.Rows() {
		since, known := firstSeen[row.Key]
		if !known {
			firstSeen[row.Key] = now
		}
		if known && now.Sub(since) >= chutequarantine.TTL {
			old = append(old, row.Key)
		} else if strings.HasPrefix(row.Key, chutequarantine.CrashPrefix) {
			crashes = append(crashes, row)
		}
	}
	for key := range firstSeen {
		if _, listed := table.Get(key); !listed {
			delete(firstSeen, key)
		}
	}
	if surplus := table.Len() - len(old) - maxQuarantineRows; surplus > 0 {
		slices.SortFunc(crashes, func(a, b chutefeed.Row) int { return cmp.Compare(a.Version, b.Version) })
		for _, row := range crashes[:min(surplus, len(crashes))] {
			old = append(old, row.Key)
		}
	}

	return old[:min(len(old), maxReportsPerBatch)]
}

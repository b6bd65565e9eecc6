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
)

const (
	// endedTimeout bounds the question whether an upstream has ended; a refusal takes the
	// time to the VM and back, and the caller's request waits for it before it goes elsewhere.
	endedTimeout = 100 * time.Millisecond
	// gatherReports is how long crashes are gathered before they are told: an engine takes
	// tens of calls along, which break within milliseconds.
	gatherReports = 10 * time.Millisecond
	// storePause is the mean pause after the first write of crashes that failed; it doubles
	// with each further one up to longestStorePause, so that all nodes have told theirs
	// within 3 s of the store's return.
	storePause        = 250 * time.Millisecond
	longestStorePause = time.Second
	// gossipPeers is the number of peers that are told ahead of the store, and gossipHops how
	// often they pass on what is new to them.
	gossipPeers = 16
	gossipHops  = 2
	// gossipAgainPeers is the number of peers that hear of what the store does not take, with
	// each new try: some 3 KB a second.
	gossipAgainPeers = 4
	// quarantineEvery is the least time between two reads of crashes and judgements.
	quarantineEvery = 100 * time.Millisecond
	// purgeEvery is how often old rows are looked for, and maxRows the number from which
	// on the oldest crashes go before their time: 8,192 rows are some 6 MB at each node.
	purgeEvery = time.Minute
	maxRows    = 8192
)

// upstreamEnded says whether an upstream has ended, and not just a connection to it.
func (n *Node) upstreamEnded(ctx context.Context, u chutefleet.Upstream) bool {
	ctx, cancel := context.WithTimeout(ctx, endedTimeout)
	defer cancel()

	return n.upstreams.Ended(ctx, u.Address)
}

// performQuarantine carries out the effects that concern requests which end upstreams.
func (n *Node) performQuarantine(effect chuterelay.Effect) {
	switch e := effect.(type) {
	case chuterelay.TellCrash:
		n.report(chutequarantine.CrashKey(e.Crash.Upstream, n.settings.Self.Name), e.Crash)
	case chuterelay.TellJudgement:
		n.report(chutequarantine.JudgementKey(e.Judgement.Fingerprint), e.Judgement)
	case chuterelay.TellLimit:
		n.report(chutefleet.LimitKey(e.Word.Upstream), e.Word)
	case chuterelay.NoteCrash:
		n.crashes.Add(1)
		n.logCrash(e)
	case chuterelay.NoteJudgement:
		n.log.Warn().Str("Fingerprint", e.Judgement.Fingerprint).Str("Workspace", e.Judgement.Workspace).
			Str("Pipeline", e.Judgement.Pipeline).Str("Verdict", string(e.Judgement.Verdict)).
			Strs("Upstreams", e.Judgement.Upstreams).Bool("Heard", e.Heard).Msg("request judged")
	case chuterelay.JudgeAt:
		n.after(e.At, chuterelay.JudgeDue{})
	default:
		n.performParts(effect)
	}
}

// logCrash writes one line an upstream that ended, or one for further suspects there.
func (n *Node) logCrash(e chuterelay.NoteCrash) {
	suspects := make([]string, 0, len(e.Crash.Suspects))
	for _, s := range e.Crash.Suspects {
		suspects = append(suspects, s.Fingerprint)
	}
	n.log.Warn().Str("Upstream", e.Crash.Upstream).Str("Pool", e.Crash.Pool).Strs("Suspects", suspects).
		Str("Evidence", e.Evidence).Msg("upstream ended under requests")
}

// report queues a crash or a judgement for the other nodes and the store.
//
// The store keeps it for nodes that start later. Gossip is there sooner, and
// while the store is away it is the only way.
func (n *Node) report(key string, report any) {
	value, err := json.Marshal(report)
	if err != nil {
		n.log.Error().Err(err).Str("Key", key).Msg("a crash or judgement can't be written")

		return
	}
	row := chutefeed.Row{Key: key, Value: value}
	n.seen.isNews(row)
	if !n.toGossip.add(row) || !n.toStore.add(row) {
		n.log.Error().Str("Key", key).Msg("too many crashes wait for the store; this one is lost with this node")
	}
}

// awaitReports waits for rows in a queue and a moment longer, since more come at once.
func (n *Node) awaitReports(ctx context.Context, q *reportQueue) bool {
	select {
	case <-ctx.Done():
		return false
	case <-q.due:
		return n.pause(ctx, gatherReports)
	}
}

// gossipReports tells other nodes what this one has seen.
func (n *Node) gossipReports(ctx context.Context) {
	for n.awaitReports(ctx, n.toGossip) {
		if rows := n.toGossip.next(); len(rows) > 0 {
			n.gossip(rows, gossipHops)
		}
	}
}

// storeReports writes to the store what this node has seen, until the store has it.
func (n *Node) storeReports(ctx context.Context) {
	failed := 0
	for n.awaitReports(ctx, n.toStore) {
		rows := n.toStore.next()
		if len(rows) == 0 {
			continue
		}
		put := make([]Row, 0, len(rows))
		for _, row := range rows {
			put = append(put, Row{Key: row.Key, Value: row.Value})
		}
		err := n.changeQuarantine(ctx, put, nil)
		if err == nil {
			failed = 0

			continue
		}
		n.toStore.addBack(rows)
		// Gossip loses calls, and without the store nothing else brings them.
		n.gossipTo(rows, gossipAgainPeers, gossipHops)
		n.log.Warn().Err(err).Int("Rows", len(rows)).Msg("crashes and judgements are not in the store yet")
		if !n.pause(ctx, jittered(min(longestStorePause, storePause<<min(failed, 8)))) {
			return
		}
		failed++
	}
}

// changeQuarantine makes one change of the table of crashes and judgements.
func (n *Node) changeQuarantine(ctx context.Context, put []Row, remove []string) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	n.storeCalls.add(callQuarantine)

	return n.store.Change(ctx, n.settings.Tables.Quarantine, put, remove)
}

// gossip brings rows to some other nodes, to all where they are few.
func (n *Node) gossip(rows []chutefeed.Row, hops int) {
	n.gossipTo(rows, gossipPeers, hops)
}

// gossipTo brings rows to so many other nodes, drawn anew each time.
func (n *Node) gossipTo(rows []chutefeed.Row, peers, hops int) {
	others := n.listedPeers()
	others = slices.DeleteFunc(others, func(p chuterelay.Peer) bool { return p.Name == n.settings.Self.Name })
	if len(others) > peers {
		rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] }) //nolint:gosec // spreads gossip, no secret
		others = others[:peers]
	} else {
		// All hear it from this node; nobody has to pass it on.
		hops = 0
	}
	for _, peer := range others {
		n.spawn(func(ctx context.Context) {
			if err := n.peers.Tell(ctx, peer.Address, n.settings.Tables.Quarantine, rows, hops); err != nil {
				n.log.Debug().Err(err).Str("Peer", peer.Name).Msg("a peer was not told of a crash; it reads it at the store")
			}
		})
	}
}

// takeReports takes in another node's rows and passes on what is new.
func (n *Node) takeReports(table string, rows []chutefeed.Row, hops int) {
	if table != n.settings.Tables.Quarantine {
		return
	}
	rows = slices.DeleteFunc(rows, func(row chutefeed.Row) bool { return !n.seen.isNews(row) })
	if len(rows) == 0 {
		return
	}
	n.takeRows(rows)
	if hops > 0 {
		n.gossip(rows, hops-1)
	}
}

// watchQuarantine keeps up with what the store has of crashes, judgements and limits.
func (n *Node) watchQuarantine(ctx context.Context) {
	w := n.watches[n.settings.Tables.Quarantine]
	n.spawn(func(ctx context.Context) { n.purgeQuarantine(ctx, w) })
	var last chutefeed.Table
	known := sync.OnceFunc(func() { close(n.quarantineKnown) })
	n.keep(ctx, w, peersWait, quarantineEvery, func() {
		table := w.snapshot()
		news := table.Since(last).Rows
		last = table
		for _, row := range news {
			n.seen.isNews(row)
		}
		if len(news) > 0 {
			n.takeRows(news)
		}
		if table.Version() > 0 {
			known()
		}
	})
}

// takeRows hands rows to the loop; one that can't be read is left out.
func (n *Node) takeRows(rows []chutefeed.Row) {
	var heard chuterelay.QuarantineHeard
	var limits chuterelay.LimitsHeard
	for _, row := range rows {
		limit, isLimit, err3 := chutefleet.DecodeLimitRecord(row.Key, row.Value)
		if isLimit {
			limits.Words = append(limits.Words, limit)
		}
		crash, isCrash, err := chutequarantine.ReadCrash(row.Key, row.Value)
		judgement, isJudgement, err2 := chutequarantine.ReadJudgement(row.Key, row.Value)
		if isCrash {
			heard.Crashes = append(heard.Crashes, crash)
		}
		if isJudgement {
			heard.Judgements = append(heard.Judgements, judgement)
		}
		if err := errors.Join(err, err2, err3); err != nil {
			n.log.Error().Err(err).Str("Key", row.Key).Msg("what another node tells of an upstream can't be read; it is left out")
		}
	}
	if len(limits.Words) > 0 {
		n.send(limits)
	}
	if len(heard.Crashes)+len(heard.Judgements) > 0 {
		n.send(heard)
	}
}

// purgeQuarantine removes old rows, where this node reads the store for the others.
func (n *Node) purgeQuarantine(ctx context.Context, w *watch) {
	first := map[string]time.Time{}
	for n.pause(ctx, purgeEvery) {
		old := oldRows(w.snapshot(), first, n.Now())
		if _, follows := n.source(); follows || len(old) == 0 {
			continue
		}
		if err := n.changeQuarantine(ctx, nil, old); err != nil {
			n.log.Warn().Err(err).Int("Rows", len(old)).Msg("old crashes and judgements are not removed yet")
		}
	}
}

// oldRows returns keys of rows that are to go: those that have been there for longer than
// they count, and of crashes that are too many the oldest. first holds since when each is
// known here.
func oldRows(table chutefeed.Table, first map[string]time.Time, now time.Time) []string {
	var old []string
	var crashes []chutefeed.Row
	for _, row := range table.Rows() {
		since, known := first[row.Key]
		if !known {
			first[row.Key] = now
		}
		if known && now.Sub(since) >= chutequarantine.Life {
			old = append(old, row.Key)
		} else if strings.HasPrefix(row.Key, chutequarantine.CrashPrefix) {
			crashes = append(crashes, row)
		}
	}
	for key := range first {
		if _, listed := table.Get(key); !listed {
			delete(first, key)
		}
	}
	if surplus := table.Len() - len(old) - maxRows; surplus > 0 {
		slices.SortFunc(crashes, func(a, b chutefeed.Row) int { return cmp.Compare(a.Version, b.Version) })
		for _, row := range crashes[:min(surplus, len(crashes))] {
			old = append(old, row.Key)
		}
	}

	return old[:min(len(old), maxReports)]
}

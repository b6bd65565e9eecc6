package chutegate

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteroute"
	"azurechute.example/azurechute/internal/chutestream"
)

const (
	// streamLinger is how long after a stream's deadline it can be taken up.
	streamLinger = 2 * time.Second
	// takeUpRetryAfter is the time after which a caller may retry whose stream can't be taken up here. Another node
	// may know it, or a newer configuration.
	takeUpRetryAfter = 500 * time.Millisecond
	// maxLoggedID bounds what is logged of an ID that a caller names.
	maxLoggedID = 64
	// maxQueuedEffects bounds the effects that wait; above it senders block.
	maxQueuedEffects = 1024
)

// streams holds what this node knows of streams, and counts take-ups.
type streams struct {
	mu    sync.Mutex
	state chutestream.State
	// effects are those that are not carried out yet.
	effects chan chutestream.Effect
	// known and unknown count take-ups by whether the binding was found, resumed those of which an event was
	// passed on.
	known   atomic.Int64
	unknown atomic.Int64
	resumed atomic.Int64
}

func newStreams(self chutestream.Node) *streams {
	return &streams{state: chutestream.NewState(self), effects: make(chan chutestream.Effect, maxQueuedEffects)}
}

// reduce applies one event and returns the effects to carry out.
func (s *streams) reduce(now time.Time, event chutestream.Event) []chutestream.Effect {
	s.mu.Lock()
	defer s.mu.Unlock()

	var effects []chutestream.Effect
	s.state, effects = chutestream.Reduce(s.state, now, event)

	return effects
}

func (s *streams) snapshot() chutestream.State {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.state
}

// find returns the record of a stream, or false if this node does not know its binding.
func (s *streams) find(id chutestream.ID, now time.Time) (chutestream.Record, bool) {
	return s.snapshot().Find(id, now)
}

func streamNode(p chuterelay.Peer) chutestream.Node {
	return chutestream.Node{Name: p.Name, Zone: p.Zone, Address: p.Address}
}

func streamNodes(peers []chuterelay.Peer) []chutestream.Node {
	nodes := make([]chutestream.Node, 0, len(peers))
	for _, p := range peers {
		nodes = append(nodes, streamNode(p))
	}

	return nodes
}

// reduceStreams applies an event about streams and queues what follows from it.
func (n *Node) reduceStreams(event chutestream.Event) {
	for _, effect := range n.streams.reduce(n.Now(), event) {
		select {
		case n.streams.effects <- effect:
		case <-n.runContext.Done():
		}
	}
}

// performStreamEffects carries effects out until the node stops.
func (n *Node) performStreamEffects(ctx context.Context) {
	for {
		select {
		case effect := <-n.streams.effects:
			switch e := effect.(type) {
			case chutestream.Announce:
				n.spawn(func(ctx context.Context) { n.announceStreams(ctx, e) })
			case chutestream.TickAt:
				n.clock.AfterFunc(e.At.Sub(n.Now()), func() { n.reduceStreams(chutestream.Ticked{}) })
			}
		case <-ctx.Done():
			return
		}
	}
}

// announceStreams sends records of streams to another node.
func (n *Node) announceStreams(ctx context.Context, e chutestream.Announce) {
	err := n.peers.AnnounceStreams(ctx, e.Node.Address, e.Records, n.Now())
	if err == nil || ctx.Err() != nil {
		return
	}
	n.log.Debug().Err(err).Str("Peer", e.Node.Name).Int("Records", len(e.Records)).Bool("Again", e.Again).
		Msg("records of streams were not taken")
	n.reduceStreams(chutestream.AnnounceFailed{Announce: e})
}

// isResumable reports whether callers may take up the streams of a pipeline.
func isResumable(p chuteroute.Pipeline) bool {
	return p.Streams && p.Repeat == chuteroute.Resumable
}

// streamOf returns what a request's stream is known by at all nodes: the sending that began it.
func streamOf(in *IncomingRequest, s chuterelay.Submission) *chutestream.ID {
	if s.Forwarded != nil || !isResumable(s.Pipeline) {
		return nil
	}
	first := in.ID
	if !s.Binding.IsZero() && in.Resumes != "" {
		first = in.Resumes
	}
	id := chutestream.NewID(s.Workspace.Name, s.Pipeline.Name, s.Fingerprint, first)

	return &id
}

// bindTakeUp binds a request that takes a stream up, or returns the refusal if its pipeline does not allow that
// or no node that was asked knows the binding.
func (n *Node) bindTakeUp(ctx context.Context, in *IncomingRequest, s *chuterelay.Submission) *chuterelay.Refusal {
	if !in.TakesUp || !s.Pipeline.Streams {
		return nil
	}
	if !isResumable(s.Pipeline) {
		return n.refuseTakeUp(in, "streams of pipeline "+s.Pipeline.Name+" can't be taken up")
	}
	line := n.log.Info().Str("Request", in.ID).Str("Resumes", in.Resumes[:min(len(in.Resumes), maxLoggedID)]).Int("LastEvent", in.LastEventID)
	record, from, known := n.findStream(ctx, chutestream.NewID(s.Workspace.Name, s.Pipeline.Name, s.Fingerprint, in.Resumes))
	if known {
		n.streams.known.Add(1)
		s.Binding = record.Binding
		line.Str("Pool", record.Binding.Pool).Str("UpstreamVersion", record.Binding.Version).Str("From", from).
			Int64("RecordAgeMs", n.Now().Sub(record.Since).Milliseconds()).Bool("Known", true).Msg("take-up")

		return nil
	}
	n.streams.unknown.Add(1)
	line.Bool("Known", false).Msg("take-up")

	return n.refuseTakeUp(in, "no node that was asked knows which version began the stream")
}

// refuseTakeUp refuses a request that takes a stream up before it is sent anywhere.
func (n *Node) refuseTakeUp(in *IncomingRequest, reason string) *chuterelay.Refusal {
	refusal := chuterelay.Refusal{Kind: chuterelay.RefusedNotRun, Reason: reason, RetryAfter: takeUpRetryAfter}
	if cfg := n.config.Load(); cfg != nil {
		n.logRefusal(in, refusal, *cfg)
	}

	return &refusal
}

// streamAnswer is what one node knows of a stream.
type streamAnswer struct {
	record chutestream.Record
	from   string
	known  bool
	// ambiguous says that it may be any of several streams with different bindings.
	ambiguous bool
	// failed says that the node could not be asked.
	failed bool
}

// findStream returns the record of a stream and the node that knows it, empty for this one; false if none does.
func (n *Node) findStream(ctx context.Context, id chutestream.ID) (chutestream.Record, string, bool) {
	state := n.streams.snapshot()
	var own streamAnswer
	own.record, own.known = state.Find(id, n.Now())
	if own.known && id.NamesRequest() || own.record.IsAmbiguous() {
		return own.record, "", own.known
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	nodes := state.ToAsk(id, n.Now())
	answers := make(chan streamAnswer, len(nodes))
	for _, node := range nodes {
		go func() { answers <- n.askForStream(ctx, node, id) }()
	}
	var answer streamAnswer
	if id.NamesRequest() {
		answer = firstKnown(own, answers, len(nodes))
	} else {
		answer = agreed(own, answers, len(nodes), state.PassedOver(id, n.Now()))
	}

	return answer.record, answer.from, answer.known
}

// firstKnown returns the first of count answers that knows the stream; this node's own, which does not, if none does.
func firstKnown(own streamAnswer, answers <-chan streamAnswer, count int) streamAnswer {
	for range count {
		if answer := <-answers; answer.known {
			return answer
		}
	}

	return own
}

// maxUnasked is the number of nodes that need not be asked for the binding of a content. Each record is announced to nodes of two
// zones, and the nodes to ask are among all of them.
const maxUnasked = 1

// agreed returns an answer with the binding that this node and all of count others have that know the stream; the zero value
// if none does, or not all have the same. passedOver further ones were not asked.
//
// It is the zero value as well if a record may be at nodes that were not asked: a node that is out of touch knows the streams
// that it began alike itself, at a version that is not that of the caller's stream.
func agreed(own streamAnswer, answers <-chan streamAnswer, count, passedOver int) streamAnswer {
	found, unasked, answered := own, passedOver, 0
	for range count {
		answer := <-answers
		if answer.failed {
			unasked++

			continue
		}
		answered++
		switch {
		case answer.ambiguous, answer.known && found.known && !found.record.Binding.Allows(answer.record.Binding):
			return streamAnswer{}
		case answer.known:
			found = answer
		}
	}
	if unasked > maxUnasked || unasked > 0 && answered == 0 {
		return streamAnswer{}
	}

	return found
}

// askForStream asks a node for what it knows of a stream.
func (n *Node) askForStream(ctx context.Context, node chutestream.Node, id chutestream.ID) streamAnswer {
	record, known, err := n.peers.FindStream(ctx, node.Address, id, n.Now())
	if errors.Is(err, chutestream.ErrAmbiguous) {
		return streamAnswer{from: node.Name, ambiguous: true}
	}
	if err != nil && ctx.Err() == nil {
		n.log.Info().Err(err).Str("Peer", node.Name).Msg("a node could not be asked for a stream")
		n.reduceStreams(chutestream.AskFailed{Node: node})
	}

	return streamAnswer{record: record, from: node.Name, known: known, failed: err != nil}
}

// upstreamBinding returns what the attempt's upstream would bind a stream to.
func (a *attempt) upstreamBinding() chutestream.Binding {
	u := a.send.Upstream

	return chutestream.Binding{Pool: u.Pool, Version: u.Version, Upstream: u.Name}
}

// bind binds the stream to the version whose event is about to be passed on; false if the caller has another's.
func (a *attempt) bind(answer Answer) bool {
	binding := answer.Binding
	if a.send.Peer.Name == "" {
		binding = a.upstreamBinding()
	}
	req := a.request
	if !req.binding.Allows(binding) {
		return false
	}
	if req.binding.IsZero() {
		req.binding = binding
	}
	if req.stream == nil || req.binding.IsZero() {
		return true
	}
	if req.incoming.TakesUp && !req.headSent {
		a.node.streams.resumed.Add(1)
	}
	until := a.send.Deadline.Add(streamLinger)
	if wait := a.node.Now().Add(req.incoming.Wait + streamLinger); wait.After(until) {
		until = wait
	}
	a.node.reduceStreams(chutestream.Began{ID: *req.stream, Binding: req.binding, Until: until})

	return true
}

// streamEnded announces a stream that its caller is likely to take up.
func (n *Node) streamEnded(req *request, result requestResult) {
	switch {
	case req.stream == nil:
	case result.refusal == nil && !result.abandoned:
		n.reduceStreams(chutestream.Ended{ID: *req.stream})
	default:
		n.reduceStreams(chutestream.Broken{ID: *req.stream})
	}
}

// addStreamGauges registers the gauges about streams that can be taken up.
func (n *Node) addStreamGauges() {
	n.meter.Gauge("take_ups_known_total", func() float64 { return float64(n.streams.known.Load()) })
	n.meter.Gauge("take_ups_unknown_total", func() float64 { return float64(n.streams.unknown.Load()) })
	n.meter.Gauge("take_ups_resumed_total", func() float64 { return float64(n.streams.resumed.Load()) })
	n.meter.Gauge("stream_records_held", func() float64 { return float64(n.streams.snapshot().Stats().Held) })
	n.meter.Gauge("stream_records_announced_total", func() float64 { return float64(n.streams.snapshot().Stats().Announced) })
	n.meter.Gauge("stream_records_dropped_total", func() float64 { return float64(n.streams.snapshot().Stats().Dropped) })
}

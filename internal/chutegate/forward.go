package chutegate

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"azurechute.example/azurechute/internal/chuteanswer"
	"azurechute.example/azurechute/internal/chutecore"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteshare"
	"azurechute.example/azurechute/internal/chutestream"
)

// forwardExchange has a peer serve the request, and returns its answer, or its refusal. Errors are of type
// *SendError.
func (a *attempt) forwardExchange(ctx context.Context) (Answer, *chuterelay.Refusal, error) {
	s, in, n := a.send, a.request.incoming, a.node
	version := uint64(0)
	if cfg, ok := n.Config(); ok {
		version = cfg.Version
	}
	now := n.Now()
	answer, err := n.peers.Forward(ctx, s.Peer.Address, chuteshare.ForwardRequest{
		ID: in.ID, Host: in.Host, Method: in.Method, URI: in.URI, Path: in.Path, Header: in.Header, Body: in.Body, Key: in.Key,
		Wait: in.Wait, LastEventID: a.request.lastEventID, Affinity: in.Affinity, PromptTokens: in.PromptTokens, PromptParts: in.PromptParts, Parts: in.Parts,
		PartKey: in.PartKey, Left: s.Deadline.Sub(now), Waited: now.Sub(s.ArrivedAt), PossibleRuns: s.PossibleRuns,
		ConfigVersion: version, Node: n.settings.Self.Name, Counted: s.Counted,
		Binding: a.request.binding, MaxOutputTokens: in.MaxOutputTokens, OutputHint: in.OutputHint, SharedTokens: in.SharedTokens,
	}, s.Replaceable)
	if err != nil {
		return Answer{}, nil, forwardSendError(err)
	}
	if r := answer.Refusal; r != nil {
		return Answer{}, &chuterelay.Refusal{
			Kind: chuterelay.RefusalKind(r.Kind), Reason: r.Reason, RetryAfter: r.RetryAfter, Elsewhere: r.Elsewhere,
		}, nil
	}

	if err := chuteanswer.CheckFinal(answer.Status, answer.Header); err != nil {
		_ = answer.Body.Close() // the call is given up

		return Answer{}, nil, &SendError{Err: err}
	}

	// The peer has checked whose answer it is, and that the upstream has signed it.
	return Answer{Status: answer.Status, Header: answer.Header, Signed: true, IsEventStream: answer.Streams, Binding: answer.Binding, Body: answer.Body}, nil, nil
}

// forwardSendError converts the error of a forwarded request.
func forwardSendError(err error) *SendError {
	var failure *chuteshare.ForwardError
	if errors.As(err, &failure) {
		return &SendError{Unsent: failure.Unsent, Silent: failure.Silent, Err: err}
	}

	return &SendError{Err: err}
}

// serveForwarded serves a request that another node has received. It returns once the answer is sent or
// the request has ended because nobody waits for it.
func (n *Node) serveForwarded(ctx context.Context, f chuteshare.ForwardRequest, out chuteshare.ForwardOutput) {
	n.forwardedServed.Add(1)
	refuse := func(r chuterelay.Refusal) {
		_ = out.Refuse(chuteshare.ForwardRefusal{Kind: string(r.Kind), Reason: r.Reason, RetryAfter: r.RetryAfter, Elsewhere: r.Elsewhere}) // fails if nobody waits
	}
	if reason := n.cannotServeForwarded(f); reason != "" {
		refuse(chuterelay.Refusal{Kind: chuterelay.RefusedNotRun, Reason: reason, RetryAfter: unreadyRetryAfter, Elsewhere: true})

		return
	}
	in := &IncomingRequest{
		ID: f.ID, Host: f.Host, Method: f.Method, URI: f.URI, Path: f.Path, Header: f.Header, Body: f.Body, Key: f.Key, Wait: f.Wait,
		LastEventID: f.LastEventID, Affinity: f.Affinity, PromptTokens: f.PromptTokens, PromptParts: f.PromptParts, Parts: f.Parts, PartKey: f.PartKey,
		MaxOutputTokens: f.MaxOutputTokens, OutputHint: f.OutputHint, SharedTokens: f.SharedTokens,
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	out = out.WithContext(ctx)
	in.Memory = n.OpenMemory(f.Key, cancel)
	defer in.Memory.Close()
	if !in.Memory.TryAcquire(int64(len(f.Body))) {
		refusal := memoryRefusal()
		refusal.Elsewhere = true
		refuse(refusal)

		return
	}
	submission, refusal := n.submit(in)
	if refusal != nil {
		refuse(*refusal)

		return
	}
	submission.Deadline = n.Now().Add(f.Left)
	submission.Binding = f.Binding
	submission.Forwarded = &chuterelay.Forwarded{Node: f.Node, Waited: f.Waited, PossibleRuns: f.PossibleRuns, Counted: f.Counted}
	n.log.Info().Str("Request", f.ID).Str("Peer", f.Node).Int64("LeftMs", f.Left.Milliseconds()).Msg("received from a node without upstreams")
	n.relay(ctx, in, submission, Output{
		WriteAnswer: func(status int, h http.Header, body []byte) {
			_ = errors.Join(out.Begin(status, h), n.writeForwarded(in, out, body), out.End()) // fails if nobody waits
		},
		BeginStream: func(status int, h http.Header, b chutestream.Binding) {
			_ = out.BeginStream(status, h, b) // the next event fails as well
		},
		WriteEvent: out.Write,
		EndStream:  func() { _ = out.End() }, // fails if nobody waits
		AbortStream: func() {
			refuse(chuterelay.Refusal{Kind: chuterelay.RefusedFailed, Reason: "the stream was broken off"})
		},
		Refuse: refuse,
	})
}

// cannotServeForwarded returns why this node can't serve a forwarded request that another one may be able
// to serve; empty if it can.
//
// A request that was accepted by a newer configuration may be one that the own configuration treats otherwise.
func (n *Node) cannotServeForwarded(f chuteshare.ForwardRequest) string {
	cfg, ok := n.Config()
	switch {
	case !ok || !n.upstreamsLoaded.Load():
		return "this VM has no configuration yet"
	case cfg.Version < f.ConfigVersion:
		return "this VM has an older configuration"
	case n.draining.Load():
		return "this VM is shutting down"
	default:
		return ""
	}
}

// probeLinks checks, at the time given, whether any of some upstreams accepts connections. It reports as soon
// as one does.
func (n *Node) probeLinks(ctx context.Context, e chuterelay.ProbeLinks) {
	if !n.sleep(ctx, e.At.Sub(n.Now())) {
		return
	}
	probed := chuterelay.LinksProbed{Reached: n.anyAccepts(ctx, e.Upstreams)}
	n.linkProbes.Add(1)
	if !probed.Reached {
		n.failedLinkProbes.Add(1)
		for _, u := range e.Upstreams {
			probed.Failed = append(probed.Failed, u.ID)
		}
	}
	n.sendEvent(probed)
}

// anyAccepts reports whether any of some upstreams accepts connections.
func (n *Node) anyAccepts(ctx context.Context, upstreams []chutefleet.Upstream) bool {
	accepted := make(chan bool, len(upstreams))
	for _, u := range upstreams {
		n.spawn(func(context.Context) { accepted <- n.upstreams.acceptsConnections(ctx, u.Address) })
	}
	for range upstreams {
		select {
		case ok := <-accepted:
			if ok {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}

	return false
}

// logLinks logs that this node reaches no upstream any more, that none is left to probe, or that it reaches some again.
func (n *Node) logLinks(e chuterelay.LogLinks) {
	wasCutOff := n.cutOff.Swap(e.CutOff)
	switch {
	case !e.CutOff:
		n.log.Info().Time("Since", e.Since).Msg("upstreams can be reached again")
	case wasCutOff:
		n.log.Warn().Time("Since", e.Since).Msg("no upstream can be reached, and none is ready")
	default:
		n.cutOffs.Add(1)
		n.log.Warn().Strs("Failed", e.Failed).Msg("no upstream can be reached; requests are forwarded to other nodes")
	}
}

// witnessUpstreams is the number of other upstreams of which one has to accept a connection before an
// upstream that refuses connections counts as ended.
const witnessUpstreams = 3

// reachesOtherUpstream reports whether any of some other upstreams accepts connections. If none does, the
// cause may be the links of this node.
func (n *Node) reachesOtherUpstream(ctx context.Context, ended chutefleet.Upstream) bool {
	var others []chutefleet.Upstream
	n.Query(func(s chutecore.State) {
		others = s.Relay().Fleet().RandomUpstreams(witnessUpstreams, float64(n.Now().UnixNano()%1000)/1000)
	})
	others = slices.DeleteFunc(others, func(u chutefleet.Upstream) bool { return u.ID == ended.ID || u.Address == ended.Address })

	// Without any other upstream there is no evidence against the links.
	return len(others) == 0 || n.anyAccepts(ctx, others)
}

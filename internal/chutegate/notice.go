package chutegate

import (
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuterelay"
)

// reportNotice reports what an answer says about its upstream to the event loop, if it says
// anything.
//
// The end of the call comes later with a stream, and not at all if the caller has left.
func (n *Node) reportNotice(u chutefleet.Upstream, notice chuterelay.Notice) {
	if notice != (chuterelay.Notice{}) {
		n.sendEvent(chuterelay.NoticeReceived{Upstream: u, Notice: notice})
	}
}

// logNotice logs what an upstream says about itself.
func (n *Node) logNotice(e chuterelay.LogNotice) {
	line := n.log.Info()
	if e.Malformed != "" {
		line = n.log.Warn().Str("Unreadable", e.Malformed)
	}
	line.Str("Upstream", e.Upstream.ID).Str("Pool", e.Upstream.Pool).Str("Peer", e.Upstream.Address).
		Bool("Leaving", e.Leaving).Int64("RestMs", e.Rest.Milliseconds()).Msg("upstream's notice")
}

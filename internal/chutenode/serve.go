package chutenode

import (
	"context"
	"net"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/samber/oops"

	"azurechute.example/azurechute/internal/chutecore"
	"azurechute.example/azurechute/internal/chutehttp"
	"azurechute.example/azurechute/internal/chutemember"
	"azurechute.example/azurechute/internal/chutepeer"
	"azurechute.example/azurechute/internal/chutesettings"
)

const (
	// drainPoll is how often a draining node looks whether its last writes are done.
	drainPoll = 20 * time.Millisecond
	// lastWritesTimeout bounds the last writes of a process that ends: cost counters, claims' ends, the lease.
	lastWritesTimeout = 5 * time.Second
)

// Serve runs one node from its settings until ctx ends, and then drains it.
func Serve(ctx context.Context, settings chutesettings.Settings, log zerolog.Logger) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", settings.ListenPeer)
	if err != nil {
		return oops.In("serve").With("step", "listen for peers", "peer", settings.ListenPeer).Wrap(err)
	}
	//nolint:contextcheck // the node outlives ctx by its drain
	node := New(withPeerAddress(settings, listener.Addr()), clockwork.NewRealClock(), log)
	defer node.stop()
	peers := node.servePeers(listener)
	node.start()
	stopWatch := context.AfterFunc(ctx, node.beginDrain)
	defer stopWatch()
	// The HTTP side goes on taking and finishing requests while it drains, so
	// the loop below it runs until the last of them has its answer.
	err = chutehttp.Serve(ctx, node.frontend(), chutehttp.Listen{
		HTTP: settings.ListenHTTP, Operator: settings.ListenOperator,
		Linger: settings.ShutdownLinger.Std(), Started: node.started,
	})
	node.end(peers) //nolint:contextcheck // ctx has ended; the last writes have a bound of their own

	return err
}

// frontend is the HTTP side of the node.
func (n *Node) frontend() *chutehttp.Frontend {
	return chutehttp.New(chutehttp.Backend{
		Submit: n.Submit, Status: n.Status, Config: n.Config, State: n.State, Ready: n.Ready, Digest: n.ConfigDigest,
	}, chutehttp.Node{
		Name: n.settings.NodeName, Site: n.settings.Site, Zone: n.settings.Zone, Region: n.settings.Region,
		Incarnation: n.identity.Incarnation,
	}, n.log, n.clock)
}

// started logs where the node is reached.
func (n *Node) started(callers, operators net.Addr) {
	n.log.Info().Str("Callers", callers.String()).Str("Operators", operators.String()).
		Str("Peers", n.settings.AdvertisePeer).Str("Incarnation", n.identity.Incarnation).Msg("serving")
}

// withPeerAddress advertises the bound address where the settings leave the port to the system.
func withPeerAddress(settings chutesettings.Settings, bound net.Addr) chutesettings.Settings {
	if _, port, err := net.SplitHostPort(settings.AdvertisePeer); err == nil && port != "0" {
		return settings
	}

	return settings.WithAdvertise(settings.AdvertiseHTTP, bound.String())
}

// servePeers answers the other nodes on the listener.
func (n *Node) servePeers(listener net.Listener) *chutepeer.Server {
	server := chutepeer.NewServer(chutepeer.DefaultSettings(n.settings.Site, n.settings.NodeName), n.handlers(), n.log)
	go func() {
		if err := server.Serve(listener); err != nil {
			n.log.Error().Err(err).Msg("the server for peers ended")
		}
	}()

	return server
}

// start begins the loop and the reading of the platform's list.
func (n *Node) start() {
	n.spawn(n.loop)
	n.send(chutecore.PeersListed{Stamp: n.stamp(), Seeds: n.firstSeeds()})
	n.spawn(n.watchList)
	n.spawn(n.cleanClaims)
}

// firstSeeds are the peers that the settings name, for a start while the platform's list can't be read.
func (n *Node) firstSeeds() []chutemember.Seed {
	seeds := make([]chutemember.Seed, 0, len(n.settings.Peers))
	for _, address := range n.settings.Peers {
		seeds = append(seeds, chutemember.Seed{Name: address, Zone: n.settings.Zone, PeerAddress: address})
	}

	return seeds
}

// beginDrain makes the node unready and hands its duties over.
func (n *Node) beginDrain() {
	if n.draining.Swap(true) {
		return
	}
	n.log.Info().Msg("draining")
	n.send(chutecore.DrainStarted{Stamp: n.stamp()})
}

// end makes the last writes and stops what still runs.
func (n *Node) end(peers *chutepeer.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), lastWritesTimeout)
	defer cancel()
	n.beginDrain()
	n.awaitWrites(ctx, false)
	n.send(chutecore.DrainEnded{Stamp: n.stamp()})
	n.awaitWrites(ctx, true)
	if left := n.claims.Close(ctx); left > 0 {
		n.log.Error().Int("Claims", left).Msg("claims could not be marked given up; others will answer Unknown for them")
	}
	peers.Close(ctx)
	n.stop()
	n.background.Wait()
	n.upstreams.Close()
	n.peers.Close()
	n.platform.Close()
	n.log.Info().Msg("ended")
}

// awaitWrites waits until no request is left and, if asked, every counter is in the table.
func (n *Node) awaitWrites(ctx context.Context, counters bool) {
	for ctx.Err() == nil {
		done := false
		err := n.query(ctx, func(s chutecore.State) {
			done = len(n.entries) == 0 && (!counters || s.Flushed())
		})
		if err != nil || done {
			return
		}
		n.pause(ctx, drainPoll)
	}
	n.log.Warn().Bool("Counters", counters).Msg("last writes not finished in time; peers hold the cost counters")
}

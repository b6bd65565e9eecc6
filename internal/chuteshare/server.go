package chuteshare

import (
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"azurechute.example/azurechute/internal/chutebatch"
	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chuteshare/chutesharepb"
)

const (
	// aliveEvery is how often a collector tells each waiting caller that it lives.
	aliveEvery = 250 * time.Millisecond
	// bufferBytes is small because messages are.
	bufferBytes = 8 << 10
	// vanishedAfter is how long a connection whose other end vanished is kept.
	vanishedAfter = 2 * time.Second
	// maxParts bounds the parts of one job; requests have a few dozen.
	maxParts = 10_000
)

// Update is what becomes of a job.
type Update struct {
	Results []chutebatch.Result
	// Failure is empty if there are results.
	Failure string
	// Leaving says that this node is shutting down.
	Leaving bool
	// Wait is how long a job of the same kind would wait here now.
	Wait time.Duration
	// Beyond says that Wait holds for the job's workspace alone, which is beyond its share.
	Beyond bool
	// Loads are on upstreams that are crowded.
	Loads []chutefleet.LoadReport
}

// Ask is a job with what the node that asks has heard of upstreams' loads.
type Ask struct {
	Job   chutebatch.Job
	Loads []chutefleet.LoadReport
}

// Handlers answers other nodes; all fields must be set.
type Handlers struct {
	// OnJob takes a job in; the update comes on the channel, which has room for it.
	OnJob func(token uint64, asked Ask, updates chan<- Update)
	// OnDrop ends a job's lease.
	OnDrop func(token uint64)
	// OnTable returns a table of the store as this node knows it.
	OnTable func(table string) Followed
	// OnTell takes in rows of one of the system's own tables; hops is how often they are
	// still to be passed on.
	OnTell func(table string, rows []chutefeed.Row, hops int)
	// Now tells the time in which jobs are meant.
	Now func() time.Time
	// NewToken returns a number that was not given out before.
	NewToken func() uint64
}

// Followed is a table as a node knows it.
type Followed struct {
	Table chutefeed.Table
	// Current says that the node, and the one that it follows, reach the store.
	Current bool
	// Age is how long ago the table was known to be up to date with the store.
	Age time.Duration
	// Changed is closed by the next change of the rows or of Current, and when the table is
	// known to be up to date anew.
	Changed <-chan struct{}
	// Leaving says that the node is shutting down: it serves no followers any more. It
	// may follow a node that follows it, and both would take old rows for current.
	Leaving bool
}

// Server serves other nodes.
type Server struct {
	grpc *grpc.Server
}

// NewServer returns a server that is not listening yet.
func NewServer(h Handlers) *Server {
	s := &Server{grpc: grpc.NewServer(
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: vanishedAfter, Timeout: vanishedAfter}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}),
	)}
	chutesharepb.RegisterShareServer(s.grpc, service{handlers: h, packs: &packs{}})

	return s
}

// Serve accepts connections until Stop.
func (s *Server) Serve(l net.Listener) error {
	return s.grpc.Serve(l)
}

// Stop ends all calls.
func (s *Server) Stop() {
	s.grpc.Stop()
}

// service answers the calls of the protocol.
type service struct {
	chutesharepb.UnimplementedShareServer
	handlers Handlers
	packs    *packs
}

// Make runs one job and keeps its results until the caller goes.
func (s service) Make(m *chutesharepb.MakeRequest, stream grpc.ServerStreamingServer[chutesharepb.MakeUpdate]) error {
	if n := m.GetParts(); n <= 0 || n > maxParts || m.GetPool() == "" || m.GetRequest() == "" {
		return status.Error(codes.InvalidArgument, "Parts, Pool or Request of the job is out of range")
	}
	token := s.handlers.NewToken()
	updates := make(chan Update, 1)
	s.handlers.OnJob(token, Ask{Job: decodeJob(m, s.handlers.Now()), Loads: decodeLoads(m.GetLoads())}, updates)
	defer s.handlers.OnDrop(token)

	alive := time.NewTicker(aliveEvery)
	defer alive.Stop()

	if err := stream.Send(&chutesharepb.MakeUpdate{}); err != nil {
		return err
	}
	for {
		select {
		case u := <-updates:
			if err := stream.Send(encodeUpdate(u)); err != nil || u.Failure != "" {
				return err
			}
			// The results are there: only the end of the lease is left to wait for.
			<-stream.Context().Done()

			return nil
		case <-alive.C:
			if err := stream.Send(&chutesharepb.MakeUpdate{}); err != nil {
				return err
			}
		case <-stream.Context().Done():
			return nil
		}
	}
}

func encodeUpdate(u Update) *chutesharepb.MakeUpdate {
	if u.Failure != "" {
		return &chutesharepb.MakeUpdate{
			Kind: chutesharepb.MakeUpdate_KIND_FAILED, Reason: u.Failure, Leaving: u.Leaving,
			WaitMs: u.Wait.Milliseconds(), Beyond: u.Beyond, Loads: encodeLoads(u.Loads),
		}
	}

	return &chutesharepb.MakeUpdate{
		Kind: chutesharepb.MakeUpdate_KIND_MADE, Results: encodeResults(u.Results), WaitMs: u.Wait.Milliseconds(),
		Beyond: u.Beyond, Loads: encodeLoads(u.Loads),
	}
}

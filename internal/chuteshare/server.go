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
	// jobKeepaliveInterval is how often a collector tells each waiting caller that it lives.
	jobKeepaliveInterval = 250 * time.Millisecond
	// connBufferBytes is small because messages are.
	connBufferBytes = 8 << 10
	// connKeepalive is how long a connection whose other end vanished is kept.
	connKeepalive = 2 * time.Second
	// maxParts bounds the parts of one job; requests have a few dozen.
	maxParts = 10_000
)

// JobUpdate is what becomes of a job.
type JobUpdate struct {
	Results []chutebatch.Result
	// Failure is empty if there are results.
	Failure string
	// Leaving says that this node is shutting down.
	Leaving bool
	// Wait is how long a job of the same kind would wait here now.
	Wait time.Duration
	// OverShare says that Wait holds for the job's workspace alone, which is beyond its share.
	OverShare bool
	// Loads are on upstreams that are crowded.
	Loads []chutefleet.LoadReport
}

// JobRequest is a job with what the node that asks has heard of upstreams' loads.
type JobRequest struct {
	Job   chutebatch.Job
	Loads []chutefleet.LoadReport
}

// Handlers answers other nodes; all fields must be set.
type Handlers struct {
	// OnJob takes a job in; the update comes on the channel, which has room for it.
	OnJob func(token uint64, request JobRequest, updates chan<- JobUpdate)
	// OnLeaseEnd ends a job's lease.
	OnLeaseEnd func(token uint64)
	// OnTable returns a table of the store as this node knows it.
	OnTable func(table string) TableState
	// OnTell takes in rows of one of the system's own tables; hops is how often they are
	// still to be passed on.
	OnTell func(table string, rows []chutefeed.Row, hops int)
	// Now tells the time in which jobs are meant.
	Now func() time.Time
	// NewToken returns a number that was not given out before.
	NewToken func() uint64
}

// TableState is a table as a node knows it.
type TableState struct {
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
		grpc.ReadBufferSize(connBufferBytes),
		grpc.WriteBufferSize(connBufferBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: connKeepalive, Timeout: connKeepalive}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}),
	)}
	chutesharepb.RegisterShareServer(s.grpc, service{handlers: h, tableEncoder: &tableEncoder{}})

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
	handlers     Handlers
	tableEncoder *tableEncoder
}

// Make runs one job and keeps its results until the caller goes.
func (s service) Make(request *chutesharepb.MakeRequest, stream grpc.ServerStreamingServer[chutesharepb.MakeUpdate]) error {
	if parts := request.GetParts(); parts <= 0 || parts > maxParts || request.GetPool() == "" || request.GetRequest() == "" {
		return status.Error(codes.InvalidArgument, "Parts, Pool or Request of the job is out of range")
	}
	token := s.handlers.NewToken()
	updates := make(chan JobUpdate, 1)
	s.handlers.OnJob(token, JobRequest{Job: decodeJob(request, s.handlers.Now()), Loads: decodeLoads(request.GetLoads())}, updates)
	defer s.handlers.OnLeaseEnd(token)

	keepaliveTicker := time.NewTicker(jobKeepaliveInterval)
	defer keepaliveTicker.Stop()

	if err := stream.Send(&chutesharepb.MakeUpdate{}); err != nil {
		return err
	}
	for {
		select {
		case update := <-updates:
			if err := stream.Send(encodeUpdate(update)); err != nil || update.Failure != "" {
				return err
			}
			// The results are there: only the end of the lease is left to wait for.
			<-stream.Context().Done()

			return nil
		case <-keepaliveTicker.C:
			if err := stream.Send(&chutesharepb.MakeUpdate{}); err != nil {
				return err
			}
		case <-stream.Context().Done():
			return nil
		}
	}
}

func encodeUpdate(update JobUpdate) *chutesharepb.MakeUpdate {
	if update.Failure != "" {
		return &chutesharepb.MakeUpdate{
			Kind: chutesharepb.MakeUpdate_KIND_FAILED, Reason: update.Failure, Leaving: update.Leaving,
			WaitMs: update.Wait.Milliseconds(), Beyond: update.OverShare, Loads: encodeLoads(update.Loads),
		}
	}

	return &chutesharepb.MakeUpdate{
		Kind: chutesharepb.MakeUpdate_KIND_MADE, Results: encodeResults(update.Results), WaitMs: update.Wait.Milliseconds(),
		Beyond: update.OverShare, Loads: encodeLoads(update.Loads),
	}
}

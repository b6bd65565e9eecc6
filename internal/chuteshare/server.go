package chuteshare

import (
	"context"
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
	"azurechute.example/azurechute/internal/chutestream"
)

const (
	// jobKeepaliveInterval is how often a collector sends a keepalive to each waiting caller.
	jobKeepaliveInterval = 250 * time.Millisecond
	// connBufferBytes is the size of the read and write buffers of a connection. It is small
	// because the messages are small.
	connBufferBytes = 8 << 10
	// connKeepalive is both how long a connection may be idle before gRPC pings the peer and
	// how long gRPC waits for the reply before it closes the connection to a vanished peer.
	connKeepalive = 2 * time.Second
)

// JobUpdate reports the results of a job or its failure.
type JobUpdate struct {
	Results []chutebatch.Result
	// Failure is the reason of the failure; empty if the job has results.
	Failure string
	// Leaving says that this node is shutting down.
	Leaving bool
	// Wait is how long a job of the same kind would currently wait at this node.
	Wait time.Duration
	// OverShare says that the job's workspace is over its share, so that Wait holds only for
	// that workspace.
	OverShare bool
	// Loads reports on overloaded upstreams.
	Loads []chutefleet.LoadReport
}

// JobRequest is a job together with the load reports on upstreams that the requesting node
// has received.
type JobRequest struct {
	Job   chutebatch.Job
	Loads []chutefleet.LoadReport
}

// Handlers holds the functions that serve the calls of other nodes; all fields but Traffic and OnWork must be set.
type Handlers struct {
	// OnJob starts a job. Its one update is sent on the channel, which is buffered for it.
	OnJob func(token uint64, request JobRequest, updates chan<- JobUpdate)
	// OnLeaseEnd is called when the lease of a job ends.
	OnLeaseEnd func(token uint64)
	// OnTable returns this node's copy of a table of the store.
	OnTable func(table string) TableState
	// OnForward serves a request that another node has received, and returns when it has ended. Its
	// context ends when nobody waits for the answer any more.
	OnForward func(ctx context.Context, request ForwardRequest, out ForwardOutput)
	// OnTell applies rows of one of the system's own tables.
	OnTell func(told Announcement)
	// OnStreamsAnnounced takes records of streams, OnFindStream returns one, or false if it is not known.
	OnStreamsAnnounced func(records []chutestream.Record)
	OnFindStream       func(id chutestream.ID) (chutestream.Record, bool)
	// OnWork begins an exchange of work with a node that asks for it; nil answers as an older build does.
	OnWork func(peer WorkPeer) WorkSession
	// Traffic counts the bytes of all messages; nil counts nothing.
	Traffic *Traffic
	// Now returns the current time, to which the relative times of received jobs are added.
	Now func() time.Time
	// NewToken returns a number that it has not returned before; it identifies a job.
	NewToken func() uint64
}

// Announcement is rows of one of the system's own tables that a node tells another one.
type Announcement struct {
	Table string
	// Era is the store's era that the versions of the rows belong to; 0 if it is not known.
	Era  uint64
	Rows []chutefeed.Row
	// Hops is how many more times the rows are passed on.
	Hops int
}

// TableState is a node's copy of a table and how current it is.
type TableState struct {
	Table chutefeed.Table
	// Current says that the node, and its source if it has one, reach the store.
	Current bool
	// Age is the time since the copy was last known to be up to date with the store.
	Age time.Duration
	// Changed is closed when the rows or Current change, and when the copy is confirmed to be
	// up to date again.
	Changed <-chan struct{}
	// Leaving says that the node is shutting down and no longer serves followers. It may follow
	// one of its own followers, and both would then take outdated rows for current ones.
	Leaving bool
}

// Server serves the calls of other nodes.
type Server struct {
	grpc *grpc.Server
}

// NewServer returns a server that does not accept connections yet.
func NewServer(h Handlers) *Server {
	if h.Traffic == nil {
		h.Traffic = &Traffic{}
	}
	s := &Server{grpc: grpc.NewServer(
		grpc.StatsHandler(h.Traffic), grpc.MaxRecvMsgSize(maxForwardBytes),
		grpc.ReadBufferSize(connBufferBytes),
		grpc.WriteBufferSize(connBufferBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: connKeepalive, Timeout: connKeepalive}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}),
	)}
	chutesharepb.RegisterShareServer(s.grpc, service{handlers: h, tableEncoder: &tableEncoder{}})

	return s
}

// Serve accepts connections on l until Stop is called. Its error comes from the listener.
func (s *Server) Serve(l net.Listener) error {
	return s.grpc.Serve(l)
}

// Stop closes the listener and all connections, which ends all calls.
func (s *Server) Stop() {
	s.grpc.Stop()
}

// service implements the generated server interface.
type service struct {
	chutesharepb.UnimplementedShareServer
	handlers     Handlers
	tableEncoder *tableEncoder
}

// Make runs one job and keeps its results until the caller ends the stream.
func (s service) Make(request *chutesharepb.MakeRequest, stream grpc.ServerStreamingServer[chutesharepb.MakeUpdate]) error {
	if parts := request.GetParts(); parts <= 0 || parts > chutebatch.MaxParts || request.GetPool() == "" || request.GetRequest() == "" {
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
			// The results are sent; the stream stays open until the lease ends.
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

// encodeUpdate converts a job update to its message.
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

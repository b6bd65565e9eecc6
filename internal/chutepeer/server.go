package chutepeer

import (
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	_ "google.golang.org/grpc/encoding/gzip" // configuration bodies come compressed
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"azurechute.example/azurechute/internal/chutemember"
	"azurechute.example/azurechute/internal/chutepeer/chutepeerpb"
)

// Handlers answers the calls of other nodes; all fields must be set.
type Handlers struct {
	// OnExchange merges the delta and returns what the caller lacks by its digest.
	OnExchange func(ctx context.Context, from string, digest chutemember.Digest, delta chutemember.Delta) chutemember.Delta
	// OnFetchConfig returns the body of a version, or false where this node does not have it.
	OnFetchConfig func(ctx context.Context, version uint64) (body []byte, ok bool)
	// OnClaimStatus returns the state of a claim, or false where this node does not know it.
	OnClaimStatus func(ctx context.Context, workspace, requestID string) (state string, known bool)
}

// Server serves the other nodes of the site.
type Server struct {
	settings Settings
	handlers Handlers
	log      zerolog.Logger
	grpc     *grpc.Server
}

const (
	// bufferBytes is small because messages are, and a node has many connections.
	bufferBytes = 4 << 10
	// streamLimit bounds the calls in progress on one connection.
	streamLimit = 64
	// connectionTimeout bounds the handshake of an accepted connection.
	connectionTimeout = 5 * time.Second
)

// NewServer returns a server that is not listening yet.
func NewServer(settings Settings, handlers Handlers, log zerolog.Logger) *Server {
	s := &Server{settings: settings, handlers: handlers, log: log}
	s.grpc = grpc.NewServer(
		grpc.UnaryInterceptor(s.checkSite),
		grpc.MaxRecvMsgSize(settings.MaxBytes),
		grpc.MaxSendMsgSize(max(settings.MaxBytes, settings.MaxConfigBytes)),
		grpc.MaxConcurrentStreams(streamLimit),
		grpc.ConnectionTimeout(connectionTimeout),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		// Without pings of its own, the server would keep a connection for ever
		// whose other end has vanished without closing it.
		grpc.KeepaliveParams(keepalive.ServerParameters{
			Time:    settings.KeepaliveTime,
			Timeout: settings.KeepaliveTimeout,
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             settings.KeepaliveTime / 2,
			PermitWithoutStream: true,
		}),
	)
	chutepeerpb.RegisterPeerServer(s.grpc, service{server: s})
	return s
}

// Serve accepts connections until Close; it returns nil then.
func (s *Server) Serve(listener net.Listener) error {
	err := s.grpc.Serve(countedListener{listener})
	return oops.In("peer").With("step", "serve", "peer", listener.Addr().String()).Wrap(err)
}

// Close lets the calls in progress finish until the context ends, then cuts them off.
func (s *Server) Close(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.grpc.GracefulStop()
	}()
	select {
	case <-done:
	case <-ctx.Done():
		s.grpc.Stop()
		<-done
	}
}

// checkSite refuses callers of another site before anything of the call is used.
func (s *Server) checkSite(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	if err := grpc.SetHeader(ctx, s.settings.metadata()); err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	md, _ := metadata.FromIncomingContext(ctx)
	if !s.settings.sameSite(md) {
		metrics.Add(metricRefused, 1)
		s.log.Warn().Str("Step", info.FullMethod).Str("Peer", first(md, nodeKey)).
			Str("Site", first(md, siteKey)).Msg("refused a node of another site")
		return nil, status.Error(codes.PermissionDenied, ErrOtherSite.Error())
	}
	metrics.Add(metricServed, 1)
	return handler(ctx, req)
}

// service translates between the protocol and the handlers.
type service struct {
	chutepeerpb.UnimplementedPeerServer
	server *Server
}

// Exchange answers another node's exchange.
func (s service) Exchange(ctx context.Context, in *chutepeerpb.ExchangeRequest) (*chutepeerpb.ExchangeReply, error) {
	digest, err := decodeDigest(in.GetDigest())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	delta, err := decodeDelta(in.GetDelta())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	reply := s.server.handlers.OnExchange(ctx, callerOf(ctx), digest, delta)
	return &chutepeerpb.ExchangeReply{Delta: encodeDelta(reply)}, nil
}

// FetchConfig hands out a configuration's body.
func (s service) FetchConfig(ctx context.Context, in *chutepeerpb.FetchConfigRequest) (*chutepeerpb.FetchConfigReply, error) {
	body, ok := s.server.handlers.OnFetchConfig(ctx, in.GetVersion())
	return &chutepeerpb.FetchConfigReply{Found: ok, Body: body}, nil
}

// ClaimStatus tells what became of a claim.
func (s service) ClaimStatus(ctx context.Context, in *chutepeerpb.ClaimStatusRequest) (*chutepeerpb.ClaimStatusReply, error) {
	state, known := s.server.handlers.OnClaimStatus(ctx, in.GetWorkspace(), in.GetRequestId())
	return &chutepeerpb.ClaimStatusReply{Known: known, State: state}, nil
}

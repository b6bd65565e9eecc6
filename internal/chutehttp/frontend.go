package chutehttp

import (
	"context"
	"expvar"
	"net/http"
	"strings"
	"sync/atomic"

	operatorserver "azurechute.example/azurechute/gen/http/operators/server"
	"azurechute.example/azurechute/gen/http/requests/server"
	"azurechute.example/azurechute/gen/operators"
	"azurechute.example/azurechute/gen/requests"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	goahttp "goa.design/goa/v3/http"
)

// Frontend is the HTTP side of one node.
type Frontend struct {
	backend  Backend
	node     Node
	log      zerolog.Logger
	clock    clockwork.Clock
	views    *views
	metrics  *metrics
	draining atomic.Bool
	all      http.Handler
	callers  http.Handler
	ops      http.Handler
}

// New returns the handlers of a node; the Frontend itself serves callers and operators on one address.
func New(backend Backend, node Node, log zerolog.Logger, clock clockwork.Clock) *Frontend {
	f := &Frontend{
		backend: backend,
		node:    node,
		log:     log,
		clock:   clock,
		views:   &views{backend: backend},
		metrics: sharedMetrics(),
	}

	f.all = f.handler(f.mountCallers, f.mountOperators, f.mountGuardedVars)
	f.callers = f.handler(f.mountCallers, f.mountProbes)
	f.ops = f.handler(f.mountOperators, f.mountOpenVars)

	return f
}

// ServeHTTP serves everything; the operators' endpoints ask for an operator's token.
func (f *Frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.all.ServeHTTP(w, r)
}

// Callers returns a handler for the callers' address alone: requests and the balancer's probes.
func (f *Frontend) Callers() http.Handler {
	return f.callers
}

// Operators returns a handler for an operators' address of its own, on which /debug/vars asks for no token.
func (f *Frontend) Operators() http.Handler {
	return f.ops
}

// fallbackRouter is the part of goa's mux, which wraps chi's router, that its interface leaves out.
type fallbackRouter interface {
	NotFound(handler http.HandlerFunc)
	MethodNotAllowed(handler http.HandlerFunc)
}

// handler builds a mux of the given parts in which every error looks the same.
func (f *Frontend) handler(parts ...func(goahttp.Muxer)) http.Handler {
	mux := goahttp.NewMuxer()

	for _, mount := range parts {
		mount(mux)
	}

	// The router's own answers for unknown paths would be plain text.
	if router, ok := mux.(fallbackRouter); ok {
		router.NotFound(f.notFound)
		router.MethodNotAllowed(f.methodNotAllowed)
	}

	return f.observe(mux)
}

func (f *Frontend) mountCallers(mux goahttp.Muxer) {
	endpoints := requests.NewEndpoints(&requestService{f: f})
	server.New(endpoints, mux, f.decoder, encoder, f.encodeFailed, formatError).Mount(mux)
}

func (f *Frontend) operatorServer(mux goahttp.Muxer) *operatorserver.Server {
	endpoints := operators.NewEndpoints(&operatorService{f: f})

	return operatorserver.New(endpoints, mux, f.decoder, encoder, f.encodeFailed, formatError)
}

func (f *Frontend) mountOperators(mux goahttp.Muxer) {
	f.operatorServer(mux).Mount(mux)
}

func (f *Frontend) mountProbes(mux goahttp.Muxer) {
	probes := f.operatorServer(mux)
	operatorserver.MountAliveHandler(mux, probes.Alive)
	operatorserver.MountReadyHandler(mux, probes.Ready)
	operatorserver.MountStatusHandler(mux, probes.Status)
}

// varsPath is where expvar's own handler would mount itself.
const varsPath = "/debug/vars"

func (f *Frontend) mountOpenVars(mux goahttp.Muxer) {
	mux.Handle(http.MethodGet, varsPath, expvar.Handler().ServeHTTP)
}

func (f *Frontend) mountGuardedVars(mux goahttp.Muxer) {
	mux.Handle(http.MethodGet, varsPath, func(w http.ResponseWriter, r *http.Request) {
		_, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")

		if refusal := f.checkOperator(token); refusal != nil {
			writeRefusal(r.Context(), w, bodyOf(refusal))

			return
		}

		expvar.Handler().ServeHTTP(w, r)
	})
}

func (f *Frontend) notFound(w http.ResponseWriter, r *http.Request) {
	writeRefusal(r.Context(), w, bodyOf(refuse(codeNotFound, "", r.URL.Path, "no such path")))
}

func (f *Frontend) methodNotAllowed(w http.ResponseWriter, r *http.Request) {
	writeRefusal(r.Context(), w, bodyOf(refuse(codeMethod, "", r.Method, "this path does not take this method")))
}

// encodeFailed logs an answer that could not be written, as when the caller has left.
func (f *Frontend) encodeFailed(ctx context.Context, _ http.ResponseWriter, err error) {
	event := f.log.Debug().Err(err)
	if x := exchangeOf(ctx); x != nil && x.key.RequestID != "" {
		event = event.Str("Request", x.key.String())
	}

	event.Msg("answer not written")
}

// writeRefusal answers outside of the generated handlers.
func writeRefusal(ctx context.Context, w http.ResponseWriter, body *refusalBody) {
	enc := encoder(ctx, w)
	w.WriteHeader(body.StatusCode())
	// A caller who left cannot be told.
	_ = enc.Encode(body)
}

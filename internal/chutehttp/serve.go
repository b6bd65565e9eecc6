package chutehttp

import (
	"context"
	"errors"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/samber/oops"
)

const (
	// readHeaderTimeout bounds the reading of a request's headers.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout closes connections that carry nothing.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds a request's headers.
	maxHeaderBytes = 64 << 10
	// defaultDrain bounds a shutdown for which the configuration sets no time.
	defaultDrain = 30 * time.Second
)

// Listen says where to serve and how to stop.
type Listen struct {
	// HTTP is the address for callers.
	HTTP string
	// Operator is the address for operators; empty serves them on HTTP.
	Operator string
	// Linger is how long connections are still taken after the shutdown began, until the balancer has seen /readyz fail.
	Linger time.Duration
	// Started is told the bound addresses, if set.
	Started func(http, operator net.Addr)
}

// Serve runs the servers until ctx ends, then lets the requests in flight finish within the configuration's DrainTimeout.
func Serve(ctx context.Context, f *Frontend, l Listen) error {
	listener, err := listen(ctx, "listen for callers", l.HTTP)
	if err != nil {
		return err
	}

	if l.Operator == "" {
		started(l, listener, listener)

		return f.run(ctx, l, listener, f)
	}

	operators, err := listen(ctx, "listen for operators", l.Operator)
	if err != nil {
		_ = listener.Close()

		return err
	}

	started(l, listener, operators)

	// The operators' server outlives the callers', so that a drain can be watched.
	server := f.server(f.Operators())
	ended := make(chan error, 1)

	go func() { ended <- server.Serve(operators) }()

	err = f.run(ctx, l, listener, f.Callers())
	_ = server.Close()

	if failed := <-ended; err == nil && !errors.Is(failed, http.ErrServerClosed) {
		err = oops.In("http").With("step", "serve operators", "peer", l.Operator).Wrap(failed)
	}

	return err
}

func listen(ctx context.Context, step, address string) (net.Listener, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, oops.In("http").With("step", step, "peer", address).Wrap(err)
	}

	return listener, nil
}

func started(l Listen, callers, operators net.Listener) {
	if l.Started != nil {
		l.Started(callers.Addr(), operators.Addr())
	}
}

// server has no ReadTimeout and no WriteTimeout: the one would end long requests, the other long streams. Bodies and writes have timeouts of their own.
func (f *Frontend) server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          stdlog.New(f.log, "", 0),
	}
}

// run serves until ctx ends or the listener fails, then drains.
func (f *Frontend) run(ctx context.Context, l Listen, listener net.Listener, handler http.Handler) error {
	server := f.server(handler)
	ended := make(chan error, 1)

	go func() { ended <- server.Serve(listener) }()

	select {
	case err := <-ended:
		return oops.In("http").With("step", "serve", "peer", listener.Addr().String()).Wrap(err)
	case <-ctx.Done():
	}

	err := f.drain(context.WithoutCancel(ctx), server, l.Linger)
	// This is http.ErrServerClosed, which the drain has caused.
	_ = <-ended

	return err
}

// drain stops the server without cutting off a request.
//
// Closing the listener at once would refuse callers whom the balancer still
// sends here, and closing idle connections would race with requests just sent
// on them. So for the time of linger everything is served as before, only that
// each answer asks for its connection to be closed.
func (f *Frontend) drain(ctx context.Context, server *http.Server, linger time.Duration) error {
	f.draining.Store(true)
	f.clock.Sleep(linger)

	ctx, cancel := context.WithTimeout(ctx, f.drainTimeout())
	defer cancel()

	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()

		return oops.In("http").With("step", "drain").Wrap(err)
	}

	return nil
}

func (f *Frontend) drainTimeout() time.Duration {
	cfg, _, ready := f.backend.Config()
	if timeout := cfg.Policy.DrainTimeout.Std(); ready && timeout > 0 {
		return timeout
	}

	return defaultDrain
}

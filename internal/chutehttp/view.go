package chutehttp

import (
	"sync"
	"sync/atomic"

	"azurechute.example/azurechute/pkg/chuteconfig"
)

// view is one configuration version with what requests look up in it.
type view struct {
	cfg        chuteconfig.Config
	version    uint64
	workspaces tokenIndex
	operators  tokenIndex
}

// newView indexes the tokens once, so that no request has to walk tens of thousands of workspaces.
func newView(cfg chuteconfig.Config, version uint64) *view {
	v := &view{
		cfg:        cfg,
		version:    version,
		workspaces: make(tokenIndex, len(cfg.Workspaces)),
		operators:  make(tokenIndex, len(cfg.Operators)),
	}

	for name, workspace := range cfg.Workspaces {
		v.workspaces.add(name, workspace.TokenDigests)
	}

	for name, operator := range cfg.Operators {
		v.operators.add(name, operator.TokenDigests)
	}

	return v
}

// views holds the view of the newest configuration version seen.
type views struct {
	backend Backend
	current atomic.Pointer[view]
	mu      sync.Mutex
}

// get returns the view of the configuration in force, or nil before the first.
func (s *views) get() *view {
	cfg, version, ready := s.backend.Config()
	if !ready {
		return nil
	}

	if v := s.current.Load(); v != nil && v.version >= version {
		return v
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	// Requests that raced here with an older version must not put it back.
	if v := s.current.Load(); v != nil && v.version >= version {
		return v
	}

	v := newView(cfg, version)
	s.current.Store(v)

	return v
}

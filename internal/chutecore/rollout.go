package chutecore

import (
	"azurechute.example/azurechute/internal/chuteadmission"
	"azurechute.example/azurechute/internal/chuterollout"
	"azurechute.example/azurechute/internal/chuterouting"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

// applyRollout moves the node's configuration on.
func (st *step) applyRollout(event Event) {
	var wants chuterollout.Wants
	var fetched chuteconfig.Config
	switch e := event.(type) {
	case HeadRead:
		st.rollout, wants = st.rollout.WithHeadRead(e.Read)
	case HeadReadFailed:
		st.rollout, wants = st.rollout.WithHeadReadFailed(st.now)
	case BodyFetched:
		fetched = e.Config
		st.rollout, wants = st.rollout.WithBodyFetched(chuterollout.BodyFetched{
			Fetch: e.Fetch, Digest: e.Digest, At: st.now,
		})
	case FetchFailed:
		st.rollout, wants = st.rollout.WithFetchFailed(e.Fetch, st.now)
	}
	st.wantRollout(wants, fetched)
}

// tickRollout reads the head and repeats fetches when due; the zone's lease holder reads most often.
func (st *step) tickRollout() {
	var wants chuterollout.Wants
	st.rollout, wants = st.rollout.WithDue(st.now, st.lease.Held(st.now))
	st.wantRollout(wants, chuteconfig.Config{})
}

// wantRollout turns the rollout's wants into effects.
func (st *step) wantRollout(wants chuterollout.Wants, fetched chuteconfig.Config) {
	if wants.ReadHead {
		st.do(ReadHead{})
	}
	if wants.Fetch != nil {
		peer, _ := st.members.Member(wants.Fetch.Peer)
		st.do(FetchConfig{Fetch: *wants.Fetch, PeerAddress: peer.PeerAddress})
	}
	if wants.Adopt != nil {
		st.adopt(*wants.Adopt, fetched)
	}
}

// adopt puts a configuration in force; the rollout's state has seen to it that versions only grow.
func (st *step) adopt(id chuterollout.ID, cfg chuteconfig.Config) {
	st.version = id.Version
	st.digest = id.Digest
	st.config = cfg
	st.routing = st.routing.WithSettings(chuterouting.SettingsOf(cfg, st.identity.Zone))
	st.queue = st.queue.WithFair(cfg.Policy.FairSharing)
	st.retries = withShare(st.retries, cfg.Policy.RetryBudget)
	st.hedges = withShare(st.hedges, cfg.Policy.HedgeBudget)
	st.ledger = st.ledger.WithFlushPeriod(cfg.Policy.LedgerFlush.Std())
	st.lease = st.lease.
		WithTimes(cfg.Policy.LeaseDuration.Std(), 0, cfg.Policy.OrderTimeout.Std()).
		WithContending(true)
	st.members = st.members.WithConfig(id.Version, id.Digest)
	st.do(ConfigInForce{Version: id.Version, Digest: id.Digest})
	st.pumpAll()
}

// withShare sets a budget's share; a budget that never had one starts anew.
func withShare(budget chuteadmission.Budget, share float64) chuteadmission.Budget {
	if budget == (chuteadmission.Budget{}) {
		return chuteadmission.NewBudget(share)
	}

	return budget.WithShare(share)
}

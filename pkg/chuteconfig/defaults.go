package chuteconfig

import "time"

// DefaultPolicy returns the policy of a configuration that states none.
//
// None of the values is measured; they are starting points for an operator.
func DefaultPolicy() Policy {
	return Policy{
		Balancing:   BalancingExpectedFinish,
		Admission:   true,
		FairSharing: true,
		// One retry and one hedge beside the first attempt.
		MaxAttempts: 3,
		// Small shares, so that retries cannot multiply the load of an outage.
		RetryBudget: 0.1,
		HedgeBudget: 0.02,
		// Far above the gap between two tokens, and short enough to resume elsewhere within a deadline of seconds.
		StallTimeout:   Duration(2 * time.Second),
		ReportAgeLimit: Duration(3 * time.Second),
		// A claim that takes longer is told NotRun, which a caller prefers to waiting out the deadline.
		ClaimTimeout: Duration(1 * time.Second),
		// Room for several orders in one lease, and a successor that has to wait seconds rather than minutes.
		LeaseDuration:   Duration(15 * time.Second),
		OrderTimeout:    Duration(3 * time.Second),
		OrdersPerMinute: 6,
		LedgerFlush:     Duration(5 * time.Second),
		// Requests with deadlines of up to a minute end within it.
		DrainTimeout: Duration(60 * time.Second),
	}
}

// DefaultLimits returns the limits of a configuration that states none.
func DefaultLimits() Limits {
	return Limits{MaxBodyBytes: 1 << 20, MaxInFlight: 2000, MaxQueued: 1000}
}

// WithDefaults fills in what a configuration built in code leaves out; Load does the same for files, field by field.
//
// A policy or limits of all zeros is replaced whole. In a policy that states
// anything, only fields for which zero is no valid choice are filled in:
// switches that are off and budgets of 0 are taken as meant.
func WithDefaults(cfg Config) Config {
	if cfg.Policy == (Policy{}) {
		cfg.Policy = DefaultPolicy()
	}
	p, d := &cfg.Policy, DefaultPolicy()
	fill(&p.Balancing, d.Balancing)
	fill(&p.MaxAttempts, d.MaxAttempts)
	fill(&p.StallTimeout, d.StallTimeout)
	fill(&p.ReportAgeLimit, d.ReportAgeLimit)
	fill(&p.ClaimTimeout, d.ClaimTimeout)
	fill(&p.LeaseDuration, d.LeaseDuration)
	fill(&p.OrderTimeout, d.OrderTimeout)
	fill(&p.OrdersPerMinute, d.OrdersPerMinute)
	fill(&p.LedgerFlush, d.LedgerFlush)
	fill(&p.DrainTimeout, d.DrainTimeout)

	l, dl := &cfg.Limits, DefaultLimits()
	fill(&l.MaxBodyBytes, dl.MaxBodyBytes)
	fill(&l.MaxInFlight, dl.MaxInFlight)
	fill(&l.MaxQueued, dl.MaxQueued)

	return cfg
}

func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

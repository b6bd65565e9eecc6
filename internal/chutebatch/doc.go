// Package chutebatch batches the parts of many requests, received by many nodes,
// into calls to the upstreams that run them.
//
// The fixed cost of a call is far higher than the cost of one part, so parts share
// calls: as soon as an upstream has a free slot, a call is made of the parts that are
// due first. Memory for results at the upstreams is reserved like slots and released
// when the results are no longer needed.
//
// A Collector is an immutable value; the package does no I/O and reads no clock.
package chutebatch

// Package chutebatch gathers the parts of many requests, from many nodes, into
// calls to the upstreams that run them.
//
// A call costs far more than a part in it, so parts share calls: as soon as an
// upstream has a free slot, the parts that are due first fill a call. Room for
// results is reserved like slots and given back when nobody needs them.
//
// A Collector is an immutable value; the package does no I/O and reads no clock.
package chutebatch

// Package chutewarmup bounds the calls that all nodes together send to an upstream that has
// just started and is cold: slow start, by a rate limit that is dealt out to owners.
//
// An upstream that has just started is empty, so by its load it is the best choice of every
// node at once, and more calls than it bears while cold end it. The nodes don't talk about
// it: each works out alone, from the list of nodes, which of them own the upstream's calls
// while it is cold, and how many each of these may send in any second (chutequota). To all
// others a cold upstream is not there.
package chutewarmup

// Package chutegate runs a node that relays requests: one loop that feeds
// events to the reducer and carries its effects out, the watches on the
// platform's store, and the exchange with other nodes.
//
// Whatever speaks the words of a platform is behind function fields: Store for
// its store, Decoders for its rows, Upstreams for the calls to upstreams, and
// Output for the answer to a caller.
package chutegate

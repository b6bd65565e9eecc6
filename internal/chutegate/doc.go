// Package chutegate runs a node that relays requests: an event loop that feeds events to the
// reducer and performs its effects, the node's local copies of the store's tables, and the exchange
// with other nodes.
//
// All code that is specific to a platform is behind function fields: Store for its store, Decoders
// for the rows of the store, Upstreams for calls to upstreams, and Output for the answer to a
// caller.
package chutegate

// Package chuteshare implements the gRPC protocol between the nodes of a site: job
// requests to collectors, reports on the load of upstreams, and the tables of the
// platform's store for nodes that follow this one or cannot reach the store.
//
// The stream of a job is also its lease: the collector keeps the results while the stream
// is open and frees them when it ends, for whatever reason. A caller that crashes therefore
// leaves no results behind, and no separate message to free them can be lost.
package chuteshare

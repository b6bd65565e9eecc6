// Package chuteshare carries what nodes say to each other about relayed
// requests: jobs for collectors with reports on upstreams' loads, and the tables of the
// platform's store for nodes that follow this one or cannot reach the store.
//
// A job's stream is also its lease: while it is open the collector keeps the
// results, and when it ends, for whatever reason, they are freed. So a caller
// that dies leaves nothing behind, and no message can be lost that matters.
package chuteshare

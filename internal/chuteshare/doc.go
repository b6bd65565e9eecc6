// Package chuteshare carries what nodes say to each other about relayed
// requests: jobs for collectors, and the platform's rows for nodes that cannot
// reach its store.
//
// A job's stream is also its lease: while it is open the collector keeps the
// results, and when it ends, for whatever reason, they are freed. So a caller
// that dies leaves nothing behind, and no message can be lost that matters.
package chuteshare

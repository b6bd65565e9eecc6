// Package chutefleet is one node's view of the upstreams that it relays to: who
// is there, who is leaving, what this node has in flight where, who failed of
// late, and which of them runs the next call.
//
// A Fleet is an immutable value. The package does no I/O and reads no clock.
package chutefleet

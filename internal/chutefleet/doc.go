// Package chutefleet holds one node's view of the upstreams that it relays to: which
// are listed, which are leaving, how many calls this node has in flight at each, which
// have failed recently, and which of them runs the next call.
//
// A Fleet is an immutable value. The package does no I/O and reads no clock.
package chutefleet

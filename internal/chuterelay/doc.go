// Package chuterelay decides how relayed requests are processed: which stages run when and at
// which node's collector, which upstream gets the call, how each possible end of a call is
// handled, and what the caller receives.
//
// It is one part of the node's reducer: Reduce takes a State and an Event and returns the next
// State and the Effects to carry out. Bytes of requests and answers never pass through it. It does
// no I/O and reads no clock.
//
//	arrived ─► stages in parts ─► one relayed call ─► answered, or refused with a reason
//	              │                     │
//	              ▼                     └─ failed: sent elsewhere, resumed, or given up
//	  a collector (this node's or a peer's), which fills calls with parts of many requests
package chuterelay

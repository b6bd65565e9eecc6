// Package chuterelay decides on relayed requests: which stages run when and at
// which node's collector, which upstream gets the call, what follows from each
// way in which a call can end, and what the caller is told.
//
// It is a part of the one reducer: Reduce takes a State and an Event and gives
// the next State and the Effects to carry out. Bytes of requests and answers
// never pass through it. It does no I/O and reads no clock.
//
//	arrived ─► stages in parts ─► one relayed call ─► answered, or told why not
//	              │                     │
//	              ▼                     └─ failed: elsewhere, resumed, or given up
//	      a collector (own or a peer's), which fills calls with parts of many requests
package chuterelay

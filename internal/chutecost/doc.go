// Package chutecost estimates how many events and prompt tokens a request takes, from the caller's hint and from the
// answers that the node has seen.
//
// It is pure: it has no clock and no I/O.
package chutecost

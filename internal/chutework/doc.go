// Package chutework adds up what nodes report of the work that upstreams have outstanding, and of how fast they do it.
//
// It is pure: it has no clock and sends nothing.
package chutework

// Package chuteroom decides whether a call is admitted to a pool whose calls are placed by the outstanding work of its
// upstreams.
//
// A call whose first event is expected after its caller has left is refused immediately. While the pool is short of
// capacity, calls of workspaces above their share of the recent work are refused, those of less urgent callers at a
// shorter wait than those of more urgent ones. Shares are max-min fair by tokens: equal among the workspaces that have
// sent anything in the last seconds, and what a workspace does not use goes to the others. While there is capacity,
// nothing is refused.
//
// It is pure: it has no clock, and random numbers are passed in.
package chuteroom

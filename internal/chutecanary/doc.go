// Package chutecanary decides how the calls of a pool are moved to upstreams of a new version, and
// when the move is taken back. It is pure: it has no clock and no network.
//
// One record in the store holds the phase of a rollout. Any node may change it under the condition
// that it has not changed since, so there is no lease and no holder that could be lost. While a
// rollout is in progress, all nodes report to a few of them what they got from both versions.
//
// How much goes to the new version is drawn for each call, with a chance that the record states. So
// the sum over all nodes is bounded whatever nodes restart or are cut off, without any count that
// they would have to share.
package chutecanary

// Package chutebudget bounds the repeats of calls to one pool by a share of its first calls and
// a slack, over a sliding window.
//
// Repeats without a bound multiply the load of a failing pool just when it can bear least. Each
// node counts for itself. What all nodes spend together stays within the bound because the
// parts of the slack that nodes may spend never add up to more than the whole (chutequota), and
// each first call is counted at one node.
package chutebudget

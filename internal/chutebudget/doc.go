// Package chutebudget bounds the retries of calls to one pool over a sliding window: to a share of
// the pool's first calls plus a fixed number, the slack.
//
// Without a bound, retries multiply the load of a failing pool when its capacity is lowest. Each
// node counts only its own calls. The retries of all nodes together stay within the bound because
// the nodes' shares of the slack never add up to more than the whole slack (see chutequota), and
// because each first call is counted at only one node.
package chutebudget

// Package chutefair says which work of a shared queue is beyond its workspace's share.
//
// Demand is what a workspace usually asks for, learned by the second. Level puts work
// that makes its workspace's part of the queue larger than twice its usual part behind
// the others' work. Nothing is held back while a slot is free, and in a burst of all
// workspaces alike nobody is beyond its share: the order by aim stays as it is.
//
// Weighed against it: start-time fair queueing and deficit round robin order all work by
// tags or turns, so that of two requests the one with the later aim goes first as often
// as not; equal shares turn away a large workspace's usual requests in each burst;
// chuteadmission shares the slots of one node, where the queue is the node's own.
package chutefair

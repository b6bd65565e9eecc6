// Package chutefair decides which work in a shared queue exceeds its workspace's share.
//
// Demand learns, second by second, how much work each workspace usually requests. Queue.Level puts
// work behind the work of others if its workspace would otherwise have more than twice its usual
// part of the queue. No work is held back while there is free capacity. In a burst of all
// workspaces alike no workspace exceeds its share, and the order by target time stays.
//
// Other methods were considered. Start-time fair queueing and deficit round robin order all work by
// tags or by turns, so that of two requests the one with the later target time goes first about half
// of the time. With equal shares, usual requests of a large workspace are refused in each burst.
// chuteadmission shares the capacity of one node, where each node has a queue of its own.
package chutefair

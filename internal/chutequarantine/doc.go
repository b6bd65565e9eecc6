// Package chutequarantine decides which requests are quarantined, that is no longer sent to any
// upstream, because upstreams crash while they run them.
//
// A poison request ends the process of each upstream that runs it. Its caller sends it again, to
// any node, and one upstream of the pool after another crashes. It may do so as a whole or by a part of
// its prompt, which other requests have too. Each node observes only a few of these crashes, and at each of
// them the upstream was also running innocent requests.
//
// Nodes report each crash to each other as a Crash, with the requests that were running there as
// Suspects. From these reports each node decides alone which elements, requests or parts of prompts, to
// quarantine. Nodes that have the same reports reach the same decision. An upstream's answer clears them.
package chutequarantine

// Package chutequarantine decides which requests are set aside because upstreams end
// under them.
//
// A poison request ends the process of each upstream that runs it. Its caller comes again,
// at any node, and takes one upstream after another out of its pool. No node sees more than
// a few of these ends, and at each of them innocent requests stood beside it.
//
// Nodes tell each other of each such end, with the requests that ran there: a Crash with
// its Suspects. From these every node works out alone which requests to set aside; the
// answer depends on what was heard, not on who asks. An answered run clears a request.
package chutequarantine

// Package chutestream keeps which software version began each resumable stream, so that the stream goes on
// at that version alone, at whichever node its caller takes it up.
//
// A node that passes a stream's first event on records the version, and announces it to a few nodes that follow
// from the stream's ID. A node where the stream is taken up asks the same ones. What none of them knows is
// rejected: a lost record costs a stream, never a stream of two versions.
//
// Reduce takes a State and an Event and returns the next State and the Effects to carry out. It does no I/O
// and reads no clock.
package chutestream

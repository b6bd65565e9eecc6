// Package chuteoverdue learns how long calls of a pipeline take at a pool, compared with what was expected of
// them, and from when on a call without its first event, or a stream without its next one, is overdue.
//
// There is no fixed time-out: a call is compared with its own expected time and with other calls of the same period.
// Values are immutable and times are passed in. docs/design/hard-load.md tells what overdue calls are for.
package chuteoverdue

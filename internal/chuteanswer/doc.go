// Package chuteanswer decides whether what a peer sent is an HTTP answer, and a whole one.
//
// net/http is lenient where an answer is passed on: it takes any three digits for a status, keeps field names that hold a
// blank, and takes the reset of a connection for its end if the kernel has reported the reset to a writer before.
package chuteanswer

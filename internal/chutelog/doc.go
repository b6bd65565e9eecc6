// Package chutelog makes the logger of a process: JSON lines that never make
// their writers wait and whose number is bounded by kind.
//
// A line's kind is its message. Of each kind so many lines a second are written;
// the rest are counted, and the counts are written from time to time.
package chutelog

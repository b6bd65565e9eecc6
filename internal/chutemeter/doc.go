// Package chutemeter counts the decisions on relayed requests and how long after
// arrival they fell, and writes the counts as text, one figure a line.
//
// docs/OPERATIONS.md tells what each figure means.
package chutemeter

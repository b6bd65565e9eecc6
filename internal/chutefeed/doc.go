// Package chutefeed holds tables of the platform's store as nodes hand them to each
// other: immutable states of a table, and the changes between two of them.
//
// A node that follows another is sent what it lacks, found by digests of groups of
// rows, and after that each change. Sent whole, a table costs rows x followers for
// each row that changes.
package chutefeed

// Package chutefeed holds tables of the platform's store in the form in which nodes send them to
// each other: immutable states of a table, and the changes between two of them.
//
// A node that follows another one is first sent the rows that it lacks, which are found by digests
// of groups of rows, and then each change. If whole tables were sent instead, each change of one row
// would cost as many rows as the table has, times the number of followers.
package chutefeed

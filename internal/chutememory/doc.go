// Package chutememory bounds the bytes that a node holds for callers, with an account for each workspace.
//
// A Budget grants bytes to holds, one for each request, as long as a workspace has at most twice what is left
// of the limit after the grant. So one workspace alone gets two thirds of the limit, n workspaces that all want
// more get 2/(2n+1) each, and there is always something left for a workspace that has nothing yet.
//
// A request that can wait does so, the workspaces that hold least go first. While somebody waits or was refused,
// Check drops the requests whose callers have read nothing for StallLimit, those of the workspace that holds
// most first.
//
// The package has no clock and starts no goroutines. A nil Budget and a nil Hold are valid and bound nothing.
package chutememory

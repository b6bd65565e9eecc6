// Package chuteroute holds the configuration of relayed pipelines: which
// request belongs to which pipeline, which stages run ahead of it, which pools
// may run it, and which workspace a key belongs to.
//
// The types are values that nobody changes after they were built; a new
// version replaces the whole Config.
package chuteroute

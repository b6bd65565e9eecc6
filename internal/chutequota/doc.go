// Package chutequota deals a whole number out to the nodes of a list, so that the parts of all
// nodes add up to it without a word between them.
//
// Each node works its part out alone, from the list of nodes and the name of what is dealt out.
// Parts are whole numbers: where there are more nodes than units, some own one and the rest
// none, and nothing is lost to rounding.
package chutequota

// Package chutequota divides whole numbers, such as limits and budgets, among nodes without any
// communication between them.
//
// Each node computes its own quota from the list of nodes and a key that names what is divided. The
// quotas of all nodes that have the same list add up to the total. Quotas are whole numbers: if
// there are more nodes than units, some nodes get one unit and the others none, and nothing is lost
// to rounding.
package chutequota

package chutenode

import "errors"

// The reasons why a node takes no new work.
var (
	errDraining     = errors.New("the process is shutting down")
	errUnconfigured = errors.New("no configuration yet: neither the table nor a peer has given one")
)

package chutecore

import (
	"time"

	"azurechute.example/azurechute/internal/chutelease"
	"azurechute.example/azurechute/internal/chuteledger"
	"azurechute.example/azurechute/internal/chutemember"
	"azurechute.example/azurechute/internal/chuterollout"
	"azurechute.example/azurechute/internal/chutesteward"
)

// ReadHead reads which configuration the table says is in force.
type ReadHead struct{}

// FetchConfig gets a configuration's body.
type FetchConfig struct {
	Fetch chuterollout.Fetch
}

// ConfigInForce lets the node hand out the body of the configuration now in force.
type ConfigInForce struct {
	Version uint64
	Digest  string
}

// ReadLease reads the zone's lease row.
type ReadLease struct {
	Key string
	ID  uint64
}

// WriteLease writes the zone's lease row on the condition of its version.
type WriteLease struct {
	Key   string
	Write chutelease.Write
}

// SendOrder sends an order to an engine, unless the clock has reached SendBefore.
type SendOrder struct {
	Order      chutesteward.Order
	Address    string
	Timeout    time.Duration
	SendBefore time.Time
}

// Exchange begins an exchange with a peer.
type Exchange struct {
	Peer   chutemember.Peer
	Digest chutemember.Digest
	Delta  chutemember.Delta
}

// ReplyToPeer answers the exchange that came under the ticket.
type ReplyToPeer struct {
	Ticket uint64
	Delta  chutemember.Delta
}

// WriteLedger writes a ledger row on the condition of its version.
type WriteLedger struct {
	Row chuteledger.Row
}

func (ReadHead) effect()      {}
func (FetchConfig) effect()   {}
func (ConfigInForce) effect() {}
func (ReadLease) effect()     {}
func (WriteLease) effect()    {}
func (SendOrder) effect()     {}
func (Exchange) effect()      {}
func (ReplyToPeer) effect()   {}
func (WriteLedger) effect()   {}

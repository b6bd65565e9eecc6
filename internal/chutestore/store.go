package chutestore

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/oops"

	"azurechute.example/azurechute/internal/chutetable"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

// ErrNoVersion says that the version asked for was never published.
var ErrNoVersion = errors.New("no such configuration version")

// Platform is what the store needs of the platform; the fields are chutetable.Client's methods of the same names.
type Platform struct {
	Transact  func(ctx context.Context, step string, tx chutetable.Transaction) (chutetable.Reply, error)
	Read      func(ctx context.Context, step string, keys ...string) ([]chutetable.Row, error)
	PutObject func(ctx context.Context, name string, body []byte) error
	GetObject func(ctx context.Context, name string) ([]byte, error)
}

// NewPlatform returns the platform as the client reaches it.
func NewPlatform(client *chutetable.Client) Platform {
	return Platform{
		Transact:  client.Transact,
		Read:      client.Read,
		PutObject: client.PutObject,
		GetObject: client.GetObject,
	}
}

// Store reads and publishes configurations; it keeps nothing between calls.
type Store struct {
	platform Platform
	clock    clockwork.Clock
	// newToken returns a text that no other call returns.
	newToken func() string
	// pause waits before a write is sent again, and returns early with an error when ctx ends.
	pause func(ctx context.Context, d time.Duration) error
}

// New returns a store on the platform.
func New(platform Platform, clock clockwork.Clock) Store {
	return Store{
		platform: platform,
		clock:    clock,
		newToken: rand.Text,
		pause: func(ctx context.Context, d time.Duration) error {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-clock.After(d):
				return nil
			}
		},
	}
}

// ReadHead returns the version in force, or the zero Head before the first.
func (s Store) ReadHead(ctx context.Context) (Head, error) {
	head, _, err := s.readHeadRow(ctx)

	return head, err
}

// ReadVersion returns the description of an earlier version, or ErrNoVersion.
func (s Store) ReadVersion(ctx context.Context, version uint64) (Head, error) {
	key := historyKey(version)
	rows, err := s.platform.Read(ctx, "read config version", key)
	if err != nil {
		return Head{}, err
	}
	row, ok := chutetable.RowOf(rows, key)
	if !ok {
		return Head{}, oops.In("store").With("step", "read config version", "peer", "table", "version", version).
			Wrap(ErrNoVersion)
	}

	return decodeHead(row)
}

// ReadBody returns the encoded set that a head names, after checking it against the head's digest.
func (s Store) ReadBody(ctx context.Context, head Head) ([]byte, error) {
	body, err := s.platform.GetObject(ctx, head.Object)
	if err != nil {
		return nil, err
	}
	if digest := chuteconfig.Digest(body); digest != head.Digest {
		return nil, oops.In("store").With("step", "read config", "peer", "objects", "object", head.Object).
			Errorf("the object has digest %s, the head names %s", digest, head.Digest)
	}

	return body, nil
}

// ReadSet returns the set that a head names; the zero Head gives an empty set.
func (s Store) ReadSet(ctx context.Context, head Head) (chuteconfig.Set, error) {
	if head.Version == 0 {
		return chuteconfig.Set{}, nil
	}
	body, err := s.ReadBody(ctx, head)
	if err != nil {
		return chuteconfig.Set{}, err
	}
	fail := oops.In("store").With("step", "read config", "peer", "objects", "object", head.Object)
	set, err := chuteconfig.DecodeSet(body)
	if err != nil {
		return chuteconfig.Set{}, fail.Wrap(err)
	}
	if set.Version != head.Version {
		return chuteconfig.Set{}, fail.Errorf("the object is version %d, the head names %d", set.Version, head.Version)
	}

	return set, nil
}

// readHeadRow returns the head and its row's table version, 0 where the row is absent.
func (s Store) readHeadRow(ctx context.Context) (Head, uint64, error) {
	rows, err := s.platform.Read(ctx, "read config head", HeadKey)
	if err != nil {
		return Head{}, 0, err
	}
	row, ok := chutetable.RowOf(rows, HeadKey)
	if !ok {
		return Head{}, 0, nil
	}
	head, err := decodeHead(row)

	return head, row.Version, err
}

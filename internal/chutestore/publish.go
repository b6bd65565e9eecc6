package chutestore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/samber/oops"

	"azurechute.example/azurechute/internal/chutetable"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

const (
	stepPublish  = "publish config"
	firstPause   = 200 * time.Millisecond
	longestPause = 2 * time.Second
)

var (
	// ErrNotPublished says that nothing was published and nothing will be.
	ErrNotPublished = errors.New("not published")
	// ErrOutcomeUnknown says that the version may have been published, or may still be; the head tells later.
	ErrOutcomeUnknown = errors.New("may have been published")

	errOtherWrite = errors.New("the answer belongs to another operator's write")
)

// Published names the version that a call of Publish put in force.
type Published struct {
	Version uint64
	Digest  string
}

// Publish puts a checked set in force as the version after expect.
//
// The error is a *Conflict when the version in force is not expect, a
// chuteconfig.FindingsError when the set fails its checks, ErrNotPublished
// when the platform certainly took nothing, or ErrOutcomeUnknown when ctx ended
// before a lost answer could be settled.
func (s Store) Publish(
	ctx context.Context, set chuteconfig.Set, expect uint64, operator string,
) (Published, error) {
	set.Version = expect + 1
	body, err := encodeChecked(set)
	if err != nil {
		return Published{}, err
	}
	head, rowVersion, err := s.readHeadRow(ctx)
	if err != nil {
		return Published{}, notPublished(err)
	}
	if head.Version != expect {
		return Published{}, s.conflict(ctx, expect, head)
	}
	next := Head{
		Version:   set.Version,
		Digest:    chuteconfig.Digest(body),
		Operator:  operator,
		At:        s.clock.Now().UTC(),
		PublishID: s.newID(),
	}
	next.Object = objectName(next.Digest)
	// The object goes first: a head that names an object not yet there would
	// leave every node that reads it without a configuration.
	if err := s.platform.PutObject(ctx, next.Object, body); err != nil {
		return Published{}, notPublished(err)
	}
	tx, err := headTransaction(next, rowVersion)
	if err != nil {
		return Published{}, notPublished(err)
	}

	return s.commit(ctx, next, tx)
}

// encodeChecked refuses a set that nodes could not take: what is in force must be readable and valid everywhere.
func encodeChecked(set chuteconfig.Set) ([]byte, error) {
	if len(set.Sites) == 0 {
		return nil, notPublished(errors.New("the set has no site"))
	}
	if findings := chuteconfig.CheckSet(set); len(findings) > 0 {
		return nil, notPublished(chuteconfig.FindingsError(findings))
	}
	body := chuteconfig.EncodeSet(set)
	if _, err := chuteconfig.DecodeSet(body); err != nil {
		return nil, notPublished(err)
	}

	return body, nil
}

// headTransaction writes the head and the version's history row together.
//
// The head's condition lets one of two operators win. The history row's
// condition keeps a version from ever having two bodies, even when the head
// row was lost and the count would start anew.
func headTransaction(next Head, rowVersion uint64) (chutetable.Transaction, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return chutetable.Transaction{}, err
	}
	key := historyKey(next.Version)

	return chutetable.Transaction{
		Conditions: []chutetable.Condition{{Key: HeadKey, Version: rowVersion}, {Key: key}},
		Writes:     []chutetable.Write{{Key: HeadKey, Value: value}, {Key: key, Value: value}},
	}, nil
}

// commit sends the transaction until its outcome is certain or ctx ends.
//
// An answer can be lost after the write took effect. Sent again, the transaction takes effect only once, and
// the version's history row tells by its PublishID whose write it was. The head alone would not: another
// operator may have published on top.
func (s Store) commit(ctx context.Context, next Head, tx chutetable.Transaction) (Published, error) {
	published := Published{Version: next.Version, Digest: next.Digest}
	outcome := ErrNotPublished
	for wait := firstPause; ; wait = min(2*wait, longestPause) {
		reply, err := s.platform.Transact(ctx, stepPublish, tx)
		switch {
		case err == nil && !reply.Committed:
			err = s.settle(ctx, next, reply.Rows)
		case err == nil && !wrote(reply.Rows, next):
			err = errOtherWrite
		}
		if err == nil {
			return published, nil
		}
		if isCertain(err) {
			return Published{}, err
		}
		if !errors.Is(err, chutetable.ErrNotWritten) {
			outcome = ErrOutcomeUnknown
		}
		if s.pause(ctx, wait) != nil {
			return Published{}, storeError(outcome, err)
		}
	}
}

// wrote says whether the rows of a committed transaction are those of this very publication.
//
// Two operators at once write the same keys; the answer to the other's transaction tells nothing of ours, which is
// sent again like one whose answer was lost.
func wrote(rows []chutetable.Row, next Head) bool {
	row, ok := chutetable.RowOf(rows, historyKey(next.Version))
	if !ok {
		return false
	}
	written, err := decodeHead(row)

	return err == nil && written.PublishID == next.PublishID
}

// settle tells from the rows that refused the transaction whether an earlier
// sending of it had taken effect: nil if so, else an error that is certain, or
// an uncertain one when the history row could not be read.
func (s Store) settle(ctx context.Context, next Head, present []chutetable.Row) error {
	key := historyKey(next.Version)
	if _, ok := chutetable.RowOf(present, key); !ok {
		rows, err := s.platform.Read(ctx, stepPublish, key)
		if err != nil {
			return err
		}
		present = append(present, rows...)
	}
	if row, ok := chutetable.RowOf(present, key); ok {
		winner, err := decodeHead(row)
		if err != nil {
			return err
		}
		if winner.PublishID == next.PublishID {
			return nil
		}
	}
	row, ok := chutetable.RowOf(present, HeadKey)
	if !ok {
		return notPublished(fmt.Errorf("the row %s is missing; write the last row under %s to it", HeadKey, historyPrefix))
	}
	head, err := decodeHead(row)
	if err != nil {
		return err
	}

	return s.conflict(ctx, next.Version-1, head)
}

func isCertain(err error) bool {
	var conflict *Conflict

	return errors.As(err, &conflict) || errors.Is(err, ErrNotPublished)
}

func notPublished(err error) error {
	return storeError(ErrNotPublished, err)
}

func storeError(outcome, err error) error {
	return oops.In("store").With("step", stepPublish, "peer", "table").Wrap(errors.Join(outcome, err))
}

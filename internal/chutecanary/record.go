package chutecanary

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/samber/oops"

	"azurechute.example/azurechute/internal/chutefleet"
)

// Order is the operator's order to move the calls of a pool to the upstreams of a version.
type Order struct {
	Pool    string
	Version string
	// Duration is the time from the order within which the move has to be completed.
	Duration time.Duration
	// Revision is the version of the order's row in the store, in its era Era. A later order has a later
	// era, or a higher revision in the same one. Era is 0 if it is not known.
	Revision uint64
	Era      uint64
}

// Phase is how far a rollout has come.
type Phase string

// The phases of a rollout.
const (
	// PhaseTrial: a share of the calls goes to the new version.
	PhaseTrial Phase = "Trial"
	// PhaseMoving: calls that must not be repeated go to the new version, the others as in PhaseTrial.
	PhaseMoving Phase = "Moving"
	// PhaseClosing: all calls go to the new version.
	PhaseClosing Phase = "Closing"
	// PhaseCompleted: the upstreams of the old versions are stopped.
	PhaseCompleted Phase = "Completed"
	// PhaseRolledBack: nothing goes to the new version any more.
	PhaseRolledBack Phase = "RolledBack"
)

// IsFinal reports whether the rollout is over.
func (p Phase) IsFinal() bool {
	return p == PhaseCompleted || p == PhaseRolledBack
}

func (p Phase) isKnown() bool {
	return p == PhaseTrial || p == PhaseMoving || p == PhaseClosing || p.IsFinal()
}

// Record is the state of a pool's last rollout as it is stored. It is immutable.
type Record struct {
	Pool    string
	Version string
	// Order is the revision of the order that the record belongs to, in the era OrderEra.
	Order    uint64
	OrderEra uint64 `json:",omitempty"`
	// Epoch increases by one with each change of the pool's record, also from one order to the next.
	Epoch uint64
	Phase Phase
	// Shares are the chances, by pipeline, that a call goes to the new version in PhaseTrial. The
	// empty name stands for all pipelines without an entry.
	Shares map[string]float64 `json:",omitempty"`
	// TrialUpstreams is the number of new upstreams that get the calls of PhaseTrial.
	TrialUpstreams int `json:",omitempty"`
	// OldVersions are the versions that the calls are moved away from.
	OldVersions []string `json:",omitempty"`
	// BarredVersions are versions of earlier rollouts of the pool that were not completed.
	BarredVersions []string `json:",omitempty"`
	// DurationMs is the duration of the order in milliseconds.
	DurationMs int64
	// ElapsedMs is the time from the order to this change in milliseconds.
	ElapsedMs int64
	// By is the node that made the change, Reason what it decided by.
	By     string
	Reason string
	// RowVersion is the version of the record's row in the store, 0 if there is none, and Era the era of
	// the store that it belongs to.
	RowVersion uint64 `json:"-"`
	Era        uint64 `json:"-"`
}

// IsOf reports whether the record belongs to an order.
func (r Record) IsOf(order Order) bool {
	return r.Order == order.Revision && (r.OrderEra == order.Era || r.OrderEra == 0 || order.Era == 0)
}

// IsBefore reports whether an order is later than the one that the record belongs to.
func (r Record) IsBefore(order Order) bool {
	if r.OrderEra > 0 && order.Era > 0 && r.OrderEra != order.Era {
		return r.OrderEra < order.Era
	}

	return r.Order < order.Revision
}

// IsStoredAfter reports whether the record is from a later state of the store than another one.
func (r Record) IsStoredAfter(other Record) bool {
	return r.Era > other.Era || r.Era == other.Era && r.RowVersion > other.RowVersion
}

// HasSameState reports whether two records of a pool are the same change of it.
func (r Record) HasSameState(other Record) bool {
	return r.Epoch == other.Epoch && r.Phase == other.Phase && r.Order == other.Order && r.By == other.By
}

// DecodeRecord decodes a record and checks it; its error names the invalid field.
func DecodeRecord(key string, value []byte, rowVersion uint64) (Record, error) {
	errBuilder := oops.In("canary").With("step", "decode rollout", "key", key)
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, errBuilder.Wrap(err)
	}
	switch {
	case r.Pool != key:
		return Record{}, errBuilder.With("field", "Pool").Errorf("pool %q in the row of %q", r.Pool, key)
	case r.Version == "":
		return Record{}, errBuilder.With("field", "Version").Errorf("version is missing")
	case !r.Phase.isKnown():
		return Record{}, errBuilder.With("field", "Phase").Errorf("unknown phase %q", r.Phase)
	}
	r.RowVersion = rowVersion

	return r, nil
}

// RestoreOrder returns the order that the record belongs to, for a node that can't read the order itself.
func (r Record) RestoreOrder() Order {
	return Order{Pool: r.Pool, Version: r.Version, Duration: time.Duration(r.DurationMs) * time.Millisecond, Revision: r.Order, Era: r.OrderEra}
}

// share returns the chance that a call of a pipeline goes to the new version in PhaseTrial.
func (r Record) share(pipeline string) float64 {
	if share, ok := r.Shares[pipeline]; ok {
		return share
	}

	return r.Shares[""]
}

// Call is what decides about the version that a call goes to.
type Call struct {
	Pipeline string
	// Repeatable says that the call may be sent again after it may have run.
	Repeatable bool
	// Fresh says that the node knows the record to be the newest one.
	Fresh bool
	// Late says that more than half of the order's duration is over.
	Late bool
}

// Draw returns the side of the pool that a call goes to. random is a random number in [0,1).
//
// A node that can't tell whether its record is the newest sends nothing to the new version, except
// for calls that must not be repeated when the rollout may be over: the end of an old upstream would
// cut them off.
func (r Record) Draw(call Call, random float64) chutefleet.Side {
	drawn := call.Fresh && (r.Phase == PhaseClosing || random < r.share(call.Pipeline))
	if r.IsPinned(call) || drawn {
		return chutefleet.SideNew
	}

	return chutefleet.SideOld
}

// IsPinned reports whether a call must not go to an old upstream, whose end could cut it off.
func (r Record) IsPinned(call Call) bool {
	return !call.Repeatable && (r.Phase == PhaseMoving || r.Phase == PhaseClosing || !call.Fresh && call.Late)
}

// VersionRule returns which versions of the pool get calls by an order, with the pool's last record.
// No order, or no record, is given as a zero value.
func VersionRule(order Order, r Record) chutefleet.VersionRule {
	barred := slices.Clone(r.BarredVersions)
	switch {
	case r.IsBefore(order):
		// The rollout has not begun. An earlier one that it replaces does not go on.
		if !r.Phase.IsFinal() || r.Phase == PhaseRolledBack {
			barred = append(barred, r.Version)
		}
		barred = append(barred, order.Version)
	case r.Phase == PhaseCompleted:
		return chutefleet.VersionRule{Barred: append(barred, r.OldVersions...)}
	case r.Phase == PhaseRolledBack, order.Revision == 0:
		barred = append(barred, r.Version)
	default:
		return chutefleet.VersionRule{Barred: barred, Trial: r.Version, TrialUpstreams: r.TrialUpstreams}
	}

	return chutefleet.VersionRule{Barred: slices.DeleteFunc(barred, func(v string) bool { return v == "" })}
}

// Rollout is the operator's order for a pool with the record of the pool's last rollout; the record is a
// zero value before the first one has begun.
type Rollout struct {
	Order  Order
	Record Record
	// Problem says why the order or the record can't be read; empty if both can.
	Problem string `json:",omitempty"`
}

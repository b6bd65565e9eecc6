package chuteclaim

// StepKind says what a Machine wants done next.
type StepKind string

// The steps; the last four are ends.
const (
	// StepInsert: write the Claimed record on condition that the row is at Base.
	StepInsert StepKind = "Insert"
	// StepRead: read the row.
	StepRead StepKind = "Read"
	// StepAsk: ask the owner named by Holder whether it gave its token up.
	StepAsk StepKind = "Ask"
	// StepSeal: write the GivenUp record on condition that the row is at Base.
	StepSeal StepKind = "Seal"
	// StepTaken: the claim is ours, its row at Base.
	StepTaken StepKind = "Taken"
	// StepHeld: Holder has the request; it must not be run here, nor be called not run.
	StepHeld StepKind = "Held"
	// StepNotTaken: the claim is not ours and never will be; if Unsealed, its write may yet take effect.
	StepNotTaken StepKind = "NotTaken"
	// StepSealed: the end of Unsealed; no row of ours can be or become Claimed any more.
	StepSealed StepKind = "Sealed"
)

// Step is what is to be done next.
type Step struct {
	Kind StepKind
	// Base is the row's version, 0 for an absent row.
	Base     uint64
	Holder   Record
	Unsealed bool
	// Unclaimed goes with NotTaken: the row showed during the attempt that nobody else had the request.
	Unclaimed bool
}

// EventKind says how the last step ended.
type EventKind string

// The events.
const (
	// EventCommitted: the write took effect, and Seen is the written row.
	EventCommitted EventKind = "Committed"
	// EventSeen: the write's condition failed, or the row was read; Seen is the row as it stands.
	EventSeen EventKind = "Seen"
	// EventNotWritten: the write certainly did not take effect.
	EventNotWritten EventKind = "NotWritten"
	// EventUnknown: the write may have taken effect or may still do so.
	EventUnknown EventKind = "Unknown"
	// EventReadFailed: the row could not be read.
	EventReadFailed EventKind = "ReadFailed"
	// EventOwnerGaveUp: the asked owner said that it gave the token up for good.
	EventOwnerGaveUp EventKind = "OwnerGaveUp"
	// EventOwnerSilent: the asked owner said otherwise, or nothing.
	EventOwnerSilent EventKind = "OwnerSilent"
)

// Event is the end of a step.
type Event struct {
	Kind EventKind
	Seen Seen
}

// Seen is a row as the table showed it; Version 0 means that it was absent.
type Seen struct {
	Version uint64
	// Record is zero where the row could not be decoded.
	Record Record
}

// Limits bound how long a Machine tries before it says NotTaken.
type Limits struct {
	// Inserts bounds the sendings of the claim, lost ones and those at a new base included.
	Inserts int
	// Reads bounds the failed reads.
	Reads int
}

// Machine decides the steps of one attempt to claim; it is an immutable value.
type Machine struct {
	token  string
	limits Limits
	// pending is the step whose event comes next.
	pending StepKind
	// base is the version that our writes demand. While it stays the same, a
	// late insert and our next write exclude each other.
	base uint64
	// unsettled says that an insert at base may still take effect.
	unsettled bool
	// told says that the caller has heard NotTaken; nothing may make the claim ours then.
	told bool
	// unclaimed says that the row was seen absent or given up during the attempt.
	unclaimed bool
	inserts   int
	reads     int
	// holder and holderVersion are the row of another that is being asked about.
	holder        Record
	holderVersion uint64
}

// NewMachine starts an attempt to claim with a token never used before.
func NewMachine(token string, limits Limits) (Machine, Step) {
	return Machine{token: token, limits: limits}.insert(0)
}

// Release starts the giving up of a claim that was taken at that version and never dispatched.
func Release(token string, version uint64) (Machine, Step) {
	m := Machine{token: token, told: true, unsettled: true}
	return m.seal(version)
}

// Next takes the end of the last step and returns the next one; it is not called after an end.
func (m Machine) Next(event Event) (Machine, Step) {
	switch m.pending {
	case StepInsert:
		return m.afterInsert(event)
	case StepRead:
		return m.afterRead(event)
	case StepAsk:
		return m.afterAsk(event)
	}
	return m.afterSeal(event)
}

func (m Machine) afterInsert(event Event) (Machine, Step) {
	switch event.Kind {
	case EventCommitted:
		// A row that is not ours means that the answer belongs to another's write.
		if event.Seen.Record.Token == m.token {
			return m.settle(event.Seen)
		}
	case EventSeen:
		return m.settle(event.Seen)
	case EventNotWritten:
		// Only this sending is certain; one before it may still be under way.
		return m.notTaken()
	}
	m.unsettled = true
	return m.read()
}

func (m Machine) afterRead(event Event) (Machine, Step) {
	if event.Kind == EventSeen {
		return m.settle(event.Seen)
	}
	m.reads++
	if m.reads < m.limits.Reads {
		return m.read()
	}
	return m.notTaken()
}

func (m Machine) afterAsk(event Event) (Machine, Step) {
	if event.Kind == EventOwnerGaveUp && m.inserts < m.limits.Inserts {
		return m.insert(m.holderVersion)
	}
	return m, Step{Kind: StepHeld, Base: m.holderVersion, Holder: m.holder}
}

// afterSeal also serves the background, where a failed seal is tried again later.
func (m Machine) afterSeal(event Event) (Machine, Step) {
	switch {
	case event.Kind == EventCommitted && event.Seen.Record.Token == m.token:
		return m.settle(event.Seen)
	case event.Kind == EventSeen:
		return m.settle(event.Seen)
	case m.told:
		return m.seal(m.base)
	}
	return m.notTaken()
}

// settle decides by the row as it stands.
func (m Machine) settle(seen Seen) (Machine, Step) {
	switch {
	case seen.Version == m.base:
		return m.settleUnchanged()
	case seen.Record.Token == m.token:
		return m.settleOurs(seen)
	}
	// The row has moved on under another's token. Versions never come back, so
	// an insert of ours that is still under way must fail.
	m.unsettled = false
	switch {
	case m.told:
		return m, Step{Kind: StepSealed}
	case seen.Version == 0 || seen.Record.State == StateGivenUp:
		return m.insertAt(seen.Version)
	case seen.Record.State == StateClaimed:
		return m.ask(seen)
	}
	return m, Step{Kind: StepHeld, Base: seen.Version, Holder: seen.Record}
}

// settleOurs decides on a row that has our token.
func (m Machine) settleOurs(seen Seen) (Machine, Step) {
	m.unsettled = false
	switch {
	case seen.Record.State != StateClaimed && m.told:
		return m, Step{Kind: StepSealed}
	case seen.Record.State == StateGivenUp:
		m.unclaimed = true
		return m.notTaken()
	case seen.Record.State != StateClaimed:
		return m, Step{Kind: StepHeld, Base: seen.Version, Holder: seen.Record}
	case m.told:
		// The late write took effect. The caller has been told NotTaken, so the
		// row must be given up, not used.
		m.unsettled = true
		return m.seal(seen.Version)
	}
	m.base = seen.Version
	return m, Step{Kind: StepTaken, Base: seen.Version}
}

// settleUnchanged decides when no insert of ours has taken effect so far. One
// under way may do so later: sending it again is safe, because it has the same
// token and base, and so only one of the two can take effect. When there is no
// sending left, a GivenUp row at the same base makes the late one fail.
func (m Machine) settleUnchanged() (Machine, Step) {
	m.unclaimed = true
	switch {
	case m.told:
		return m.seal(m.base)
	case m.pending == StepSeal:
		return m.notTaken()
	case m.inserts < m.limits.Inserts:
		return m.insert(m.base)
	case m.unsettled:
		return m.seal(m.base)
	}
	return m.notTaken()
}

// insertAt claims at a new base while sendings are left.
func (m Machine) insertAt(base uint64) (Machine, Step) {
	m.unclaimed = true
	if m.inserts >= m.limits.Inserts {
		return m.notTaken()
	}
	return m.insert(base)
}

func (m Machine) insert(base uint64) (Machine, Step) {
	m.pending = StepInsert
	m.base = base
	m.inserts++
	return m, Step{Kind: StepInsert, Base: base}
}

func (m Machine) read() (Machine, Step) {
	m.pending = StepRead
	return m, Step{Kind: StepRead, Base: m.base}
}

func (m Machine) ask(seen Seen) (Machine, Step) {
	m.pending = StepAsk
	m.holder, m.holderVersion = seen.Record, seen.Version
	return m, Step{Kind: StepAsk, Base: seen.Version, Holder: seen.Record}
}

func (m Machine) seal(base uint64) (Machine, Step) {
	m.pending = StepSeal
	m.base = base
	return m, Step{Kind: StepSeal, Base: base}
}

func (m Machine) notTaken() (Machine, Step) {
	m.told = true
	return m, Step{Kind: StepNotTaken, Base: m.base, Unsealed: m.unsettled, Unclaimed: m.unclaimed}
}

// Seal returns the step that an Unsealed end leaves to do, for the background.
func (m Machine) Seal() (Machine, Step) {
	return m.seal(m.base)
}

package chutepeer

import (
	"errors"
	"math"
	"time"

	"azurechute.example/azurechute/internal/chutemember"
	"azurechute.example/azurechute/internal/chutepeer/chutepeerpb"
)

// errMalformed is a message that no node of this version sends.
var errMalformed = errors.New("malformed peer message")

// maxAge keeps an age from overflowing; everything that has an age is dropped long before.
const maxAge = 365 * 24 * time.Hour

// scopes is in order of the protocol's numbers.
var scopes = []chutemember.Scope{
	chutepeerpb.Scope_SCOPE_NONE:   chutemember.ScopeNone,
	chutepeerpb.Scope_SCOPE_LISTED: chutemember.ScopeListed,
	chutepeerpb.Scope_SCOPE_NEWS:   chutemember.ScopeNews,
	chutepeerpb.Scope_SCOPE_ZONE:   chutemember.ScopeZone,
	chutepeerpb.Scope_SCOPE_ALL:    chutemember.ScopeAll,
}

func encodeDigest(d chutemember.Digest) *chutepeerpb.Digest {
	if d.Empty() {
		return nil
	}
	out := &chutepeerpb.Digest{
		Zone:          d.Zone,
		ConfigVersion: d.ConfigVersion,
		Marks:         d.Marks,
		NodeIds:       make([]uint64, len(d.Nodes)),
		NodeVersions:  make([]uint64, len(d.Nodes)),
	}
	for number, scope := range scopes {
		if scope == d.Scope {
			out.Scope = chutepeerpb.Scope(number)
		}
	}
	for i, n := range d.Nodes {
		out.NodeIds[i], out.NodeVersions[i] = n.ID, n.Version
	}
	for _, r := range d.Rows {
		out.RowIds = append(out.RowIds, r.ID)
		out.RowVersions = append(out.RowVersions, r.Version)
	}
	return out
}

// decodeDigest also checks the order of the nodes, which the receiver searches.
func decodeDigest(in *chutepeerpb.Digest) (chutemember.Digest, error) {
	var d chutemember.Digest
	if in == nil {
		return d, nil
	}
	scope := int(in.GetScope())
	if scope < 0 || scope >= len(scopes) ||
		len(in.GetNodeIds()) != len(in.GetNodeVersions()) || len(in.GetRowIds()) != len(in.GetRowVersions()) {
		return d, errMalformed
	}
	d.Scope, d.Zone, d.ConfigVersion, d.Marks = scopes[scope], in.GetZone(), in.GetConfigVersion(), in.GetMarks()
	d.Nodes = make([]chutemember.NodeVersion, len(in.GetNodeIds()))
	for i, id := range in.GetNodeIds() {
		if i > 0 && id <= in.GetNodeIds()[i-1] {
			return d, errMalformed
		}
		d.Nodes[i] = chutemember.NodeVersion{ID: id, Version: in.GetNodeVersions()[i]}
	}
	for i, id := range in.GetRowIds() {
		d.Rows = append(d.Rows, chutemember.RowVersion{ID: id, Version: in.GetRowVersions()[i]})
	}
	return d, nil
}

func encodeDelta(d chutemember.Delta) *chutepeerpb.Delta {
	out := &chutepeerpb.Delta{Wants: encodeDigest(d.Wants)}
	if d.Config.Version > 0 {
		out.Config = &chutepeerpb.Config{Version: d.Config.Version, Digest: d.Config.Digest}
	}
	for _, m := range d.Marks {
		out.Marks = append(out.Marks, &chutepeerpb.Mark{
			Upstream: m.Upstream, Incarnation: m.Incarnation, AgeSeconds: toSeconds(m.Age),
		})
	}
	for i := range d.Nodes {
		out.Nodes = append(out.Nodes, encodeNode(&d.Nodes[i]))
	}
	out.BeatIds = make([]uint64, len(d.Beats))
	out.BeatBases = make([]uint64, len(d.Beats))
	out.BeatAdvances = make([]uint64, len(d.Beats))
	for i, b := range d.Beats {
		out.BeatIds[i], out.BeatBases[i], out.BeatAdvances[i] = b.ID, b.Base, b.Version-b.Base
	}
	for _, r := range d.Rows {
		out.Rows = append(out.Rows, &chutepeerpb.Row{
			Id: r.ID, Node: r.Node, Zone: r.Zone, Incarnation: r.Incarnation,
			Version: r.Version, Body: r.Body, AgeSeconds: toSeconds(r.Age),
		})
	}
	return out
}

func decodeDelta(in *chutepeerpb.Delta) (chutemember.Delta, error) {
	var d chutemember.Delta
	wants, err := decodeDigest(in.GetWants())
	if err != nil {
		return d, err
	}
	d.Wants = wants
	if len(in.GetBeatIds()) != len(in.GetBeatBases()) || len(in.GetBeatIds()) != len(in.GetBeatAdvances()) {
		return d, errMalformed
	}
	d.Config = chutemember.Config{Version: in.GetConfig().GetVersion(), Digest: in.GetConfig().GetDigest()}
	for _, m := range in.GetMarks() {
		d.Marks = append(d.Marks, chutemember.MarkNews{
			LeavingMark: chutemember.LeavingMark{Upstream: m.GetUpstream(), Incarnation: m.GetIncarnation()},
			Age:         fromSeconds(m.GetAgeSeconds()),
		})
	}
	for _, n := range in.GetNodes() {
		d.Nodes = append(d.Nodes, decodeNode(n))
	}
	for i, id := range in.GetBeatIds() {
		base := in.GetBeatBases()[i]
		d.Beats = append(d.Beats, chutemember.Beat{ID: id, Base: base, Version: base + in.GetBeatAdvances()[i]})
	}
	for _, r := range in.GetRows() {
		d.Rows = append(d.Rows, chutemember.LedgerRow{
			ID: r.GetId(), Node: r.GetNode(), Zone: r.GetZone(), Incarnation: r.GetIncarnation(),
			Version: r.GetVersion(), Body: r.GetBody(), Age: fromSeconds(r.GetAgeSeconds()),
		})
	}
	return d, nil
}

func encodeNode(n *chutemember.NodeNews) *chutepeerpb.Node {
	out := &chutepeerpb.Node{
		Id: n.ID, Base: n.Base, Version: n.Version, Loads: encodeLoads(n.Loads), LoadsAt: n.LoadsAt,
	}
	if r := n.Record; r != nil {
		out.RecordAt = n.RecordAt
		out.Record = &chutepeerpb.Record{
			Name: r.Name, Zone: r.Zone, Region: r.Region, PeerAddress: r.PeerAddress,
			Incarnation: r.Incarnation, Epoch: r.Epoch, Leaving: r.State == chutemember.StateLeaving,
		}
	}
	if s := n.Status; s != nil {
		out.StatusAt = n.StatusAt
		out.Status = &chutepeerpb.Status{ConfigVersion: s.ConfigVersion, Sums: encodeLoads(s.Sums)}
	}
	return out
}

func encodeLoads(loads []chutemember.PoolLoad) []*chutepeerpb.Load {
	out := make([]*chutepeerpb.Load, len(loads))
	for i, l := range loads {
		out[i] = &chutepeerpb.Load{Zone: l.Zone, Pool: l.Pool, InFlight: uint64(max(0, l.InFlight))}
	}
	return out
}

func decodeNode(in *chutepeerpb.Node) chutemember.NodeNews {
	n := chutemember.NodeNews{
		ID: in.GetId(), Base: in.GetBase(), Version: in.GetVersion(),
		Loads: decodeLoads(in.GetLoads()), LoadsAt: in.GetLoadsAt(),
	}
	if r := in.GetRecord(); r != nil {
		n.RecordAt = in.GetRecordAt()
		n.Record = &chutemember.Member{
			Name: r.GetName(), Zone: r.GetZone(), Region: r.GetRegion(), PeerAddress: r.GetPeerAddress(),
			Incarnation: r.GetIncarnation(), Epoch: r.GetEpoch(), State: chutemember.StateLive,
		}
		if r.GetLeaving() {
			n.Record.State = chutemember.StateLeaving
		}
	}
	if s := in.GetStatus(); s != nil {
		n.StatusAt = in.GetStatusAt()
		n.Status = &chutemember.Status{ConfigVersion: s.GetConfigVersion(), Sums: decodeLoads(s.GetSums())}
	}
	return n
}

func decodeLoads(in []*chutepeerpb.Load) []chutemember.PoolLoad {
	var out []chutemember.PoolLoad
	for _, l := range in {
		out = append(out, chutemember.PoolLoad{
			Zone: l.GetZone(), Pool: l.GetPool(), InFlight: int(min(l.GetInFlight(), math.MaxInt32)),
		})
	}
	return out
}

func toSeconds(d time.Duration) uint64 {
	return uint64(max(0, d) / time.Second)
}

func fromSeconds(s uint64) time.Duration {
	return time.Duration(min(s, uint64(maxAge/time.Second))) * time.Second
}

package chuteshare

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chuteshare/chutesharepb"
)

// packFrom is the number of rows from which on they are packed. A table of thousands of
// upstreams shrinks to a third, which counts when a whole zone starts at once and asks
// nodes with slow links; a few rows are not worth the processor time.
const packFrom = 64

// packs keeps the packed form of each table's last state: many followers start at once,
// and each would otherwise have the same rows packed for itself.
type packs struct {
	mu   sync.Mutex
	last map[string]pack
}

type pack struct {
	rows  []chutefeed.Row
	bytes []byte
}

// encode writes a change, packed if it is a long table.
func (p *packs) encode(table string, c chutefeed.Change) (*chutesharepb.Change, error) {
	change := &chutesharepb.Change{Version: c.Version, Whole: c.Whole, Groups: c.Groups, Gone: c.DeletedKeys}
	if !c.Whole || len(c.Rows) < packFrom {
		change.Rows = encodeRows(c.Rows)

		return change, nil
	}
	packed, err := p.packed(table, c.Rows)
	change.Packed = packed

	return change, err
}

// packed returns rows packed, from the last call if they are the same.
func (p *packs) packed(table string, rows []chutefeed.Row) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if last := p.last[table]; len(last.rows) == len(rows) && &last.rows[0] == &rows[0] {
		return last.bytes, nil
	}
	plain, err := proto.Marshal(&chutesharepb.RowList{Rows: encodeRows(rows)})
	if err != nil {
		return nil, oops.In("share").With("step", "encode rows").Wrap(err)
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, oops.In("share").With("step", "pack rows").Wrap(err)
	}
	_, err = w.Write(plain)
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		return nil, oops.In("share").With("step", "pack rows").Wrap(err)
	}
	if p.last == nil {
		p.last = map[string]pack{}
	}
	p.last[table] = pack{rows: rows, bytes: packed.Bytes()}

	return packed.Bytes(), nil
}

// unpack reads what packed has written.
func unpack(packed []byte) ([]*chutesharepb.Row, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	plain, err := io.ReadAll(io.LimitReader(r, maxReply))
	if err != nil {
		return nil, oops.In("share").With("step", "unpack rows").Wrap(err)
	}
	var list chutesharepb.RowList
	if err := proto.Unmarshal(plain, &list); err != nil {
		return nil, oops.In("share").With("step", "decode rows").Wrap(err)
	}

	return list.GetRows(), nil
}

func encodeKnown(t chutefeed.Table) *chutesharepb.Known {
	return &chutesharepb.Known{Version: t.Version(), Digests: t.Digests()}
}

func encodeRows(rows []chutefeed.Row) []*chutesharepb.Row {
	out := make([]*chutesharepb.Row, 0, len(rows))
	for _, row := range rows {
		out = append(out, &chutesharepb.Row{Key: row.Key, Value: row.Value, Version: row.Version})
	}

	return out
}

// decodeChange reads a change that was made for a table with a number of digests.
func decodeChange(m *chutesharepb.Change, digests int) (chutefeed.Change, error) {
	rows := m.GetRows()
	if len(m.GetPacked()) > 0 {
		var err error
		if rows, err = unpack(m.GetPacked()); err != nil {
			return chutefeed.Change{}, err
		}
	}
	c := chutefeed.Change{
		Version: m.GetVersion(), Whole: m.GetWhole(), Groups: m.GetGroups(), GroupCount: digests, DeletedKeys: m.GetGone(),
		Rows: decodeRows(rows),
	}

	return c, nil
}

func decodeRows(rows []*chutesharepb.Row) []chutefeed.Row {
	out := make([]chutefeed.Row, 0, len(rows))
	for _, row := range rows {
		out = append(out, chutefeed.Row{Key: row.GetKey(), Value: row.GetValue(), Version: row.GetVersion()})
	}

	return out
}

package chuteshare

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chuteshare/chutesharepb"
)

// minPackedRows is the number of rows, and minPackedBytes the size of their values, from which on rows are packed,
// that is compressed with deflate. A few rows are not worth the CPU time.
const (
	minPackedRows  = 64
	minPackedBytes = 4 << 10
)

// tableEncoder encodes changes and caches the packed form of the last rows of each table. When many
// followers lack the same, it would otherwise be packed once for each of them.
type tableEncoder struct {
	mu         sync.Mutex
	lastPacked map[string]packedTable
}

// packedTable holds rows of a table and their packed form.
type packedTable struct {
	// first is the first row of a slice of rows without large values, length their number.
	first  *chutefeed.Row
	length int
	// digest is that of the encoded rows.
	digest uint64
	packed []byte
}

// encode converts a change to its message, for a follower whose values the patcher knows.
func (e *tableEncoder) encode(table string, change chutefeed.Change, patcher *valuePatcher) (*chutesharepb.Change, error) {
	message := &chutesharepb.Change{Era: change.Era, Version: change.Version, Whole: change.Whole, Groups: change.Groups, Gone: change.DeletedKeys}
	if !needsPacking(change) {
		message.Rows = patcher.encodeRows(change.Rows)

		return message, nil
	}
	packed, err := e.packRows(table, change.Rows, patcher)
	message.Packed = packed

	return message, err
}

// needsPacking reports whether the rows of a change are worth being compressed.
func needsPacking(change chutefeed.Change) bool {
	if change.Whole && len(change.Rows) >= minPackedRows {
		return true
	}

	return slices.ContainsFunc(change.Rows, func(row chutefeed.Row) bool { return len(row.Value) >= minPackedBytes })
}

// packRows returns the packed form of rows, or the cached one if they are those of the last call for the
// table.
func (e *tableEncoder) packRows(table string, rows []chutefeed.Row, patcher *valuePatcher) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()

	// Values that are patched differ by follower, so that their encoded form is compared.
	patched := slices.ContainsFunc(rows, func(row chutefeed.Row) bool { return len(row.Value) >= chutefeed.MinChunkedBytes })
	last := e.lastPacked[table]
	if !patched && last.length == len(rows) && last.first == &rows[0] {
		return last.packed, nil
	}
	plain, err := proto.MarshalOptions{Deterministic: true}.Marshal(&chutesharepb.RowList{Rows: patcher.encodeRows(rows)})
	if err != nil {
		return nil, oops.In("share").With("step", "encode rows").Wrap(err)
	}
	next := packedTable{first: &rows[0], length: len(rows), digest: xxhash.Sum64(plain)}
	if patched && last.digest == next.digest {
		return last.packed, nil
	}
	if next.packed, err = deflate(plain); err != nil {
		return nil, err
	}
	if e.lastPacked == nil {
		e.lastPacked = map[string]packedTable{}
	}
	e.lastPacked[table] = next

	return next.packed, nil
}

// deflate compresses bytes.
func deflate(plain []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err == nil {
		_, err = writer.Write(plain)
	}
	if err == nil {
		err = writer.Close()
	}
	if err != nil {
		return nil, oops.In("share").With("step", "pack rows").Wrap(err)
	}

	return buffer.Bytes(), nil
}

// unpackRows decodes what packRows returns, up to maxReplyBytes of unpacked data.
func unpackRows(packed []byte) ([]*chutesharepb.Row, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	plain, err := io.ReadAll(io.LimitReader(reader, maxReplyBytes))
	if err != nil {
		return nil, oops.In("share").With("step", "unpack rows").Wrap(err)
	}
	var list chutesharepb.RowList
	if err := proto.Unmarshal(plain, &list); err != nil {
		return nil, oops.In("share").With("step", "decode rows").Wrap(err)
	}

	return list.GetRows(), nil
}

// encodeKnown returns the version and digests by which a peer finds out what t lacks.
func encodeKnown(t chutefeed.Table) *chutesharepb.Known {
	return &chutesharepb.Known{
		Era: t.Era(), Version: t.Version(), Digests: t.Digests(), KnowsPatches: true, Large: newLargeValues(t).encode(),
	}
}

// decodeKnown returns the position that a caller has read a table up to.
func decodeKnown(known *chutesharepb.Known) chutefeed.Position {
	return chutefeed.Position{Era: known.GetEra(), Version: known.GetVersion()}
}

// encodeRows converts rows to messages.
func encodeRows(rows []chutefeed.Row) []*chutesharepb.Row {
	messages := make([]*chutesharepb.Row, 0, len(rows))
	for _, row := range rows {
		messages = append(messages, &chutesharepb.Row{Key: row.Key, Value: row.Value, Version: row.Version})
	}

	return messages
}

// decodeChange converts a message to a change; groupCount is the number of digests, one for each
// group of rows, that the receiver sent, and known its large values.
func decodeChange(message *chutesharepb.Change, groupCount int, known largeValues) (chutefeed.Change, error) {
	rows := message.GetRows()
	if len(message.GetPacked()) > 0 {
		var err error
		if rows, err = unpackRows(message.GetPacked()); err != nil {
			return chutefeed.Change{}, err
		}
	}
	decoded, err := known.decodeRows(rows)
	if err != nil {
		return chutefeed.Change{}, err
	}
	change := chutefeed.Change{
		Era: message.GetEra(), Version: message.GetVersion(), Whole: message.GetWhole(), Groups: message.GetGroups(), GroupCount: groupCount, DeletedKeys: message.GetGone(),
		Rows: decoded,
	}

	return change, nil
}

// decodeRows converts messages to rows.
func decodeRows(messages []*chutesharepb.Row) []chutefeed.Row {
	rows := make([]chutefeed.Row, 0, len(messages))
	for _, message := range messages {
		rows = append(rows, chutefeed.Row{Key: message.GetKey(), Value: message.GetValue(), Version: message.GetVersion()})
	}

	return rows
}

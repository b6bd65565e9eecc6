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

// minPackedRows is the number of rows from which on a table is packed, that is compressed with
// deflate. A table of thousands of upstreams shrinks to a third, which matters when a whole zone
// starts at once and reads from nodes with slow links; a few rows are not worth the CPU time.
const minPackedRows = 64

// tableEncoder encodes changes and caches the packed form of the last state of each table. When
// many followers start at once, the same rows would otherwise be packed once for each of them.
type tableEncoder struct {
	mu         sync.Mutex
	lastPacked map[string]packedTable
}

// packedTable holds the rows of a table and their packed form.
type packedTable struct {
	rows   []chutefeed.Row
	packed []byte
}

// encode converts a change to its message; a whole table of minPackedRows rows or more is packed.
func (e *tableEncoder) encode(table string, change chutefeed.Change) (*chutesharepb.Change, error) {
	message := &chutesharepb.Change{Era: change.Era, Version: change.Version, Whole: change.Whole, Groups: change.Groups, Gone: change.DeletedKeys}
	if !change.Whole || len(change.Rows) < minPackedRows {
		message.Rows = encodeRows(change.Rows)

		return message, nil
	}
	packed, err := e.packRows(table, change.Rows)
	message.Packed = packed

	return message, err
}

// packRows returns the packed form of rows. It returns the cached form if rows is the same slice
// as in the last call for the table.
func (e *tableEncoder) packRows(table string, rows []chutefeed.Row) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()

	if last := e.lastPacked[table]; len(last.rows) == len(rows) && &last.rows[0] == &rows[0] {
		return last.packed, nil
	}
	plain, err := proto.Marshal(&chutesharepb.RowList{Rows: encodeRows(rows)})
	if err != nil {
		return nil, oops.In("share").With("step", "encode rows").Wrap(err)
	}
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, oops.In("share").With("step", "pack rows").Wrap(err)
	}
	_, err = writer.Write(plain)
	if err == nil {
		err = writer.Close()
	}
	if err != nil {
		return nil, oops.In("share").With("step", "pack rows").Wrap(err)
	}
	if e.lastPacked == nil {
		e.lastPacked = map[string]packedTable{}
	}
	e.lastPacked[table] = packedTable{rows: rows, packed: buffer.Bytes()}

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
	return &chutesharepb.Known{Era: t.Era(), Version: t.Version(), Digests: t.Digests()}
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
// group of rows, that the receiver sent.
func decodeChange(message *chutesharepb.Change, groupCount int) (chutefeed.Change, error) {
	rows := message.GetRows()
	if len(message.GetPacked()) > 0 {
		var err error
		if rows, err = unpackRows(message.GetPacked()); err != nil {
			return chutefeed.Change{}, err
		}
	}
	change := chutefeed.Change{
		Era: message.GetEra(), Version: message.GetVersion(), Whole: message.GetWhole(), Groups: message.GetGroups(), GroupCount: groupCount, DeletedKeys: message.GetGone(),
		Rows: decodeRows(rows),
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

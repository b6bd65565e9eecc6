package chuteshare

import (
	"github.com/samber/oops"

	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chuteshare/chutesharepb"
)

// valuePatcher replaces large values in what one follower is sent by patches of the values that it has.
type valuePatcher struct {
	// enabled is false for a follower that does not take patches.
	enabled bool
	// chunks holds the digests of the chunks of each large value that the follower has.
	chunks map[string][]uint64
}

// newValuePatcher returns the patcher for a caller that has told what it has.
func newValuePatcher(known *chutesharepb.Known) *valuePatcher {
	p := &valuePatcher{enabled: known.GetKnowsPatches(), chunks: map[string][]uint64{}}
	for _, large := range known.GetLarge() {
		p.chunks[large.GetKey()] = large.GetChunks()
	}

	return p
}

// encodeRows converts rows to messages.
func (p *valuePatcher) encodeRows(rows []chutefeed.Row) []*chutesharepb.Row {
	messages := make([]*chutesharepb.Row, 0, len(rows))
	for _, row := range rows {
		message := &chutesharepb.Row{Key: row.Key, Version: row.Version}
		if p.enabled && len(row.Value) >= chutefeed.MinChunkedBytes {
			message.Patch = p.patchOf(row)
		} else {
			message.Value = row.Value
		}
		messages = append(messages, message)
	}

	return messages
}

// patchOf returns the patch that makes a row's value, which the follower has from then on.
func (p *valuePatcher) patchOf(row chutefeed.Row) *chutesharepb.Patch {
	patch, digests := chutefeed.NewPatch(p.chunks[row.Key], row.Value)
	p.chunks[row.Key] = digests
	message := &chutesharepb.Patch{Digest: patch.Digest}
	for _, piece := range patch.Pieces {
		message.Pieces = append(message.Pieces, &chutesharepb.Patch_Piece{
			First: uint32(piece.First), Count: uint32(piece.Count), Data: piece.Data, //nolint:gosec // numbers of chunks of one value
		})
	}

	return message
}

// largeValues holds the large values that this node has of a table, by key; patches are applied to them.
type largeValues map[string][]byte

// newLargeValues returns the large values of a table.
func newLargeValues(t chutefeed.Table) largeValues {
	values := largeValues{}
	for _, row := range t.Rows() {
		if len(row.Value) >= chutefeed.MinChunkedBytes {
			values[row.Key] = row.Value
		}
	}

	return values
}

// encode returns the digests of the chunks of all values.
func (v largeValues) encode() []*chutesharepb.LargeValue {
	messages := make([]*chutesharepb.LargeValue, 0, len(v))
	for key, value := range v {
		messages = append(messages, &chutesharepb.LargeValue{Key: key, Chunks: chutefeed.ChunkDigests(value)})
	}

	return messages
}

// decodeRows converts messages to rows, and remembers their large values.
func (v largeValues) decodeRows(messages []*chutesharepb.Row) ([]chutefeed.Row, error) {
	rows := make([]chutefeed.Row, 0, len(messages))
	for _, message := range messages {
		row := chutefeed.Row{Key: message.GetKey(), Value: message.GetValue(), Version: message.GetVersion()}
		if patch := message.GetPatch(); patch != nil {
			value, err := decodePatch(patch).Apply(v[row.Key])
			if err != nil {
				return nil, oops.In("share").With("step", "patch", "key", row.Key).Wrap(err)
			}
			row.Value = value
		}
		if len(row.Value) >= chutefeed.MinChunkedBytes {
			v[row.Key] = row.Value
		}
		rows = append(rows, row)
	}

	return rows, nil
}

func decodePatch(message *chutesharepb.Patch) chutefeed.Patch {
	patch := chutefeed.Patch{Digest: message.GetDigest()}
	for _, piece := range message.GetPieces() {
		patch.Pieces = append(patch.Pieces, chutefeed.PatchPiece{First: int(piece.GetFirst()), Count: int(piece.GetCount()), Data: piece.GetData()})
	}

	return patch
}

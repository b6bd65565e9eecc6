package chutestore

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/samber/oops"

	"azurechute.example/azurechute/internal/chutetable"
)

// HeadKey is the table's row that says which version is in force.
const HeadKey = "config/head"

const (
	historyPrefix = "config/history/"
	objectPrefix  = "config/"
)

// Head describes one published version; the zero Head stands for none.
type Head struct {
	Version uint64
	// Digest is the lower-case hex SHA-256 of the encoded set, and Object the name it is stored under.
	Digest string
	Object string
	// Operator is who published it, by their own word.
	Operator string
	// At is when it was published, by the operator's clock.
	At time.Time
	// Token is known only to the call of Publish that wrote the row; by it a lost answer is settled.
	Token string
}

// historyKey pads the version so that the rows' order is the versions' order.
func historyKey(version uint64) string {
	return fmt.Sprintf("%s%020d", historyPrefix, version)
}

func objectName(digest string) string {
	return objectPrefix + digest
}

// decodeHead refuses a row that lacks what a node has to rely on.
func decodeHead(row chutetable.Row) (Head, error) {
	fail := oops.In("store").With("step", "read head", "peer", "table", "key", row.Key)
	var head Head
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return Head{}, fail.Wrap(err)
	}
	if head.Version == 0 || head.Digest == "" || head.Object == "" {
		return Head{}, fail.Errorf("the row names no version, digest or object")
	}

	return head, nil
}

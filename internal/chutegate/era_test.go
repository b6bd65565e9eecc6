package chutegate

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutefeed"
	"azurechute.example/azurechute/internal/chuteshare"
)

// Guards against an answer from before the store came back from a copy that is taken in after it, and
// against a stale answer that is taken for a return.
func TestPlacedAfter(t *testing.T) {
	after := chutefeed.Position{Era: 2, Version: 30}
	for _, test := range []struct {
		name    string
		page    Page
		wantErr error
		wantEra uint64
	}{
		{"an earlier era, though the version is higher", Page{Era: 1, Version: 48}, errEarlierEra, 1},
		{"the same era with a lower version", Page{Era: 2, Version: 29}, errStaleAnswer, 2},
		{"the same position", Page{Era: 2, Version: 30}, nil, 2},
		{"an era that rose by two, though the version is lower", Page{Era: 4, Version: 5}, nil, 4},
		{"no era and a higher version", Page{Version: 31}, nil, 2},
		{"no era and a lower version", Page{Version: 29}, errStaleAnswer, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			page, err := placedAfter(after, test.page)
			qt.Assert(t, err, qt.Equals, test.wantErr)
			qt.Assert(t, page.Era, qt.Equals, test.wantEra)
		})
	}
}

// Guards against a node that takes its rows for current because a peer that does not know eras, or not of
// the last return yet, vouches for its own.
func TestStatusOfEarlierEra(t *testing.T) {
	local := newLocalTable("t", minStaleAfter, time.Now)
	local.replaceAll(Page{Era: 2, Version: 30})
	for era, current := range map[uint64]bool{0: false, 1: false, 2: true, 3: true} {
		status := local.statusInEra(chuteshare.TableStatus{Era: era, Current: true, ConfirmedAt: epoch})
		qt.Assert(t, status.Current, qt.Equals, current)
		qt.Assert(t, status.ConfirmedAt.IsZero(), qt.Equals, !current)
	}
}

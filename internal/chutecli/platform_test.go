package chutecli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chuteledger"
	"azurechute.example/azurechute/internal/chutestandin"
	"azurechute.example/azurechute/internal/chutetable"
)

func TestApplyAndShow(t *testing.T) {
	p := newPlatform(t)
	expectRun(t, exitOK, "no version", join([]string{"config", "status"}, p.flags)...)
	expectRun(t, exitOK, "version 1 is published", p.apply(kuraFiles)...)
	expectRun(t, exitOK, "version 1 stays in force", p.apply(kuraFiles)...)
	expectRun(t, exitNo, "out of range", p.apply(kuraWith(t, "0"))...)
	expectRun(t, exitNo, "compared with version 1", join([]string{"config", "diff"}, kuraWith(t, "2"), p.flags)...)
	expectRun(t, exitOK, "version 2 is published", p.apply(kuraWith(t, "2"), "--expect-version", "1")...)
	expectRun(t, exitOK, `"MaxAttempts": 2`, join([]string{"config", "show"}, p.flags)...)
	expectRun(t, exitOK, `"MaxAttempts": 3`, join([]string{"config", "show", "--at-version", "1"}, p.flags)...)
	expectRun(t, exitFailed, "no such configuration version", join([]string{"config", "show", "--at-version", "3"}, p.flags)...)
}

// Ann and Ben both looked at version 1. Ben applies first; Ann's command must
// change nothing and tell her that Ben was first and what he changed, so that
// she does not take his change back without knowing.
func TestApplyTellsTheLoser(t *testing.T) {
	c := qt.New(t)
	p := newPlatform(t)
	expectRun(t, exitOK, "", p.apply(kuraFiles)...)
	expectRun(t, exitOK, "", p.apply(kuraWith(t, "2"), "--expect-version", "1", "--operator", "ben")...)
	late := p.apply(kuraWith(t, "4"), "--expect-version", "1")
	expectRun(t, exitNo, "version 2 is in force, not 1; ben published it at", late...)
	expectRun(t, exitNo, "~ kura.Policy.MaxAttempts: 3 -> 2", late...)

	var result applyResult
	c.Assert(json.Unmarshal([]byte(expectRun(t, exitNo, "", append(late, "-o", "json")...)), &result), qt.IsNil)
	c.Assert(result.Applied, qt.IsFalse)
	c.Assert(result.Conflict.Head.Operator, qt.Equals, "ben")
	expectRun(t, exitOK, "version 2 is in force", join([]string{"config", "status"}, p.flags)...)
}

func TestApplyKeepsSitesThatAreNotNamed(t *testing.T) {
	p := newPlatform(t)
	hivatal := []string{"--base", examples + "base.json", "--site", examples + "hivatal/site.json"}
	expectRun(t, exitOK, "", p.apply(kuraFiles)...)
	expectRun(t, exitUsage, "in force but not among the files: kura", p.apply(hivatal)...)
	expectRun(t, exitOK, "version 2", p.apply(hivatal, "--remove-site", "kura")...)
}

// impatient returns an app whose operator gives up after a number of writes sent.
func impatient(t *testing.T, writes int) (context.Context, App) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	app := New("v1")
	open := app.Open
	app.Open = func(cfg chutetable.Settings) Platform {
		platform := open(cfg)
		transact := platform.Transact
		platform.Transact = func(ctx context.Context, step string, tx chutetable.Transaction) (chutetable.Reply, error) {
			if writes--; writes == 0 {
				defer cancel()
			}

			return transact(ctx, step, tx)
		}

		return platform
	}

	return ctx, app
}

// The table takes the write and its answer is lost, or it is down all along.
// The operator hears "published" in the first case, because the write is sent
// again and meets itself; in the second they hear that nothing was, or that it
// is unknown when a write may have arrived.
func TestApplyWhenThePlatformFails(t *testing.T) {
	apply := func(t *testing.T, fault chutestandin.Fault, code int, want string) {
		t.Helper()
		p := newPlatform(t)
		qt.Assert(t, p.table.SetFaults(chutestandin.Faults{Rules: []chutestandin.Fault{fault}}), qt.IsNil)
		ctx, app := impatient(t, 2)
		expectAppRun(ctx, t, app, code, want, p.apply(kuraFiles)...)
	}
	t.Run("lost answer", func(t *testing.T) {
		apply(t, chutestandin.Fault{Kind: chutestandin.FaultDropAnswer, Path: "/v1/transact", Count: 1}, exitOK, "version 1 is published")
	})
	t.Run("every answer lost", func(t *testing.T) {
		apply(t, chutestandin.Fault{Kind: chutestandin.FaultDropAnswer, Path: "/v1/transact"}, exitUnknown, "config status")
	})
	t.Run("refused", func(t *testing.T) {
		apply(t, chutestandin.Fault{Kind: chutestandin.FaultRefuse, Path: "/v1/transact"}, exitFailed, "not published")
	})
	t.Run("down", func(t *testing.T) {
		apply(t, chutestandin.Fault{Kind: chutestandin.FaultDown}, exitFailed, "read config head")
	})
}

func TestStatusShowsWhoLags(t *testing.T) {
	p := newPlatform(t)
	node := func(version int) string {
		return serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprintf(w, `{"Node": "n", "Site": "kura", "Zone": "a", "ConfigVersion": %d, "Ready": true}`, version)
		}))
	}
	expectRun(t, exitOK, "", p.apply(kuraFiles)...)
	status := join([]string{"config", "status"}, p.flags, []string{"--node", node(1)})
	expectRun(t, exitOK, "version 1 is in force, published by ann", status...)
	expectRun(t, exitNo, "true", append(status, "--node", node(0))...)
	expectRun(t, exitNo, "refused", append(status, "--node", "127.0.0.1:1")...)

	qt.Assert(t, p.table.SetFaults(chutestandin.Faults{Rules: []chutestandin.Fault{{Kind: chutestandin.FaultDown}}}), qt.IsNil)
	expectRun(t, exitFailed, "the version in force is not known", status...)
}

func TestStatusAsksTheVMList(t *testing.T) {
	p := newPlatform(t)
	vms := serve(t, chutestandin.NewVMs(chutestandin.VMsSettings{}, chutestandin.VM{
		Name: "entry-1", Address: "127.0.0.1:1", Kind: "Entry", State: "Live", Zone: "a", PeerAddress: "127.0.0.1:2", Incarnation: "1",
	}))
	expectRun(t, exitNo, "http://127.0.0.1:1 ", join([]string{"config", "status", "--vms", vms}, p.flags)...)
}

func TestCostSumsTheLedger(t *testing.T) {
	c := qt.New(t)
	p := newPlatform(t)
	key := chuteledger.Key{Team: "advice", Workspace: "members", Pipeline: "tank-diagnosis", Stage: "encode"}
	wasted := key
	wasted.Wasted = true
	row, err := chuteledger.Encode("node-1", chuteledger.NewCounters().
		With(key, chuteledger.Count{Calls: 2, Units: 3, Cost: 1_500_000}).
		With(wasted, chuteledger.Count{Calls: 1, Cost: 7}))
	c.Assert(err, qt.IsNil)
	p.put(c, "ledger/node-1/0", row)

	expectRun(t, exitOK, "1.500000", "cost", "--team", "advice", "--table", p.baseURL)
	expectRun(t, exitOK, "0.000007", "cost", "--team", "advice", "--table", p.baseURL)
	var result costResult
	out := expectRun(t, exitOK, "", "cost", "--team", "advice", "--table", p.baseURL, "-o", "json")
	c.Assert(json.Unmarshal([]byte(out), &result), qt.IsNil)
	c.Assert(result.Lines, qt.HasLen, 1)
	c.Assert(result.Charged.Cost, qt.Equals, int64(1_500_000))

	p.put(c, "ledger/node-2/0", json.RawMessage(`{"Spoilt": true}`))
	expectRun(t, exitFailed, "1 of 2 ledger rows cannot be read", "cost", "--table", p.baseURL)
	expectRun(t, exitUsage, "--table", "cost")
}

func (p platform) put(c *qt.C, key string, value json.RawMessage) {
	c.Helper()
	body, err := json.Marshal(map[string]any{"Writes": []map[string]any{{"Key": key, "Value": value}}})
	c.Assert(err, qt.IsNil)
	resp, err := http.Post(p.baseURL+"/v1/transact", "application/json", bytes.NewReader(body))
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
}

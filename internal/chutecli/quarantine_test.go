package chutecli

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutequarantine"
)

func TestQuarantineCommands(t *testing.T) {
	c := qt.New(t)
	lifted := ""
	app := New("v")
	app.ReadQuarantine = func(context.Context, string) ([]chutequarantine.Judgement, error) {
		return []chutequarantine.Judgement{
			{
				Suspect: chutequarantine.Suspect{Fingerprint: "f1", Workspace: "team"},
				Verdict: chutequarantine.VerdictQuarantined, Upstreams: []string{"i-1", "i-2"},
			},
			{Suspect: chutequarantine.Suspect{Fingerprint: "f2"}, Verdict: chutequarantine.VerdictCleared},
		}, nil
	}
	app.Lift = func(_ context.Context, _, fingerprint string) error {
		if fingerprint != "f1" {
			return errors.New("not set aside")
		}
		lifted = fingerprint

		return nil
	}
	ctx := context.Background()
	store := []string{"--platform", "127.0.0.1:1"}

	list := expectAppRun(ctx, t, app, exitOK, "i-1 i-2", join([]string{"quarantine", "list"}, store)...)
	c.Assert(list, qt.Not(qt.Contains), "f2")
	expectAppRun(ctx, t, app, exitOK, "Cleared", join([]string{"quarantine", "list", "--all"}, store)...)
	expectAppRun(ctx, t, app, exitOK, `"Fingerprint": "f1"`, join([]string{"quarantine", "list", "-o", "json"}, store)...)
	expectAppRun(ctx, t, app, exitOK, "", join([]string{"quarantine", "lift", "f1"}, store)...)
	c.Assert(lifted, qt.Equals, "f1")
	expectAppRun(ctx, t, app, exitFailed, "not set aside", join([]string{"quarantine", "lift", "f3"}, store)...)
	expectAppRun(ctx, t, app, exitUsage, "platform", "quarantine", "list")
}

package chutecli

import (
	"context"
	"strconv"
	"strings"

	"azurechute.example/azurechute/internal/chutequarantine"
)

type quarantineCommands struct {
	List listQuarantineCommand `cmd:"" help:"Show the requests and parts of prompts that are set aside, with the upstreams that ended under them."`
	Lift liftCommand           `cmd:"" help:"Set one request or part of prompts free."`
}

type listQuarantineCommand struct {
	storeFlags

	All bool `help:"Show requests that were cleared or lifted too."`
}

// Run lists the judgements.
func (c listQuarantineCommand) Run(ctx context.Context, s session) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	all, err := s.ReadQuarantine(ctx, c.Platform)
	if err != nil {
		return err
	}
	shown := make([]chutequarantine.Judgement, 0, len(all))
	for _, j := range all {
		if c.All || j.Verdict == chutequarantine.VerdictQuarantined {
			shown = append(shown, j)
		}
	}

	return s.print(shown, func() {
		rows := [][]string{{"FINGERPRINT", "WORKSPACE", "PIPELINE", "VERDICT", "FOR", "ENDED", "UPSTREAMS"}}
		for _, j := range shown {
			rows = append(rows, []string{
				j.Fingerprint, j.Workspace, j.Pipeline, string(j.Verdict), scope(j), strconv.Itoa(len(j.Upstreams)), strings.Join(j.Upstreams, " "),
			})
		}
		s.columns(rows)
	})
}

// scope returns what a judgement holds for: the request, or the workspaces and pools for which it holds for parts of
// prompts, and the parts if there are several.
func scope(j chutequarantine.Judgement) string {
	if !j.IsOnParts() {
		return "request"
	}
	text := orAll("workspace", j.Workspaces) + ", " + orAll("pool", j.Pools)
	if len(j.Elements) > 1 {
		text += ", " + strings.Join(j.Elements, "+")
	}

	return text
}

func orAll(kind string, names []string) string {
	if len(names) == 0 {
		return "all " + kind + "s"
	}

	return kind + " " + strings.Join(names, " ")
}

type liftCommand struct {
	storeFlags

	Fingerprint string `arg:"" help:"The request's fingerprint, or the key of a part of prompts, as list and the nodes' logs show it."`
}

// Help returns the command's detailed help.
func (liftCommand) Help() string {
	return `Every node takes the request, or requests with the part, in again within a second, and sets it aside anew after
three more upstreams have ended under it. Lift it when what made it harmful is gone,
such as a fault of a model that was mended.

Example:
  azurechute quarantine lift 5d2f0c3e9a7b41d8a6e0f19c23b4d5e6
  azurechute quarantine lift part/5c1e07a2`
}

// Run lifts one verdict.
func (c liftCommand) Run(ctx context.Context, s session) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	if err := s.Lift(ctx, c.Platform, c.Fingerprint); err != nil {
		return err
	}
	s.progress("%s is set free", c.Fingerprint)

	return nil
}

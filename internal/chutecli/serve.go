package chutecli

import (
	"context"
	"errors"
)

var errNoServer = errors.New("this build has no server")

type serveCommand struct {
	Settings string `env:"AZURECHUTE_SETTINGS" help:"JSON file with the node's settings." placeholder:"FILE" required:"" type:"existingfile"`
}

// Help returns the command's detailed help.
func (serveCommand) Help() string {
	return `Runs until told to end by SIGTERM or an interrupt; then it takes no new work,
finishes what is in flight and exits.

Example:
  azurechute serve --settings /etc/azurechute/settings.json`
}

// Run serves until ctx ends.
func (c serveCommand) Run(ctx context.Context, s session) error {
	if s.Serve == nil {
		return errNoServer
	}

	return s.Serve(ctx, c.Settings)
}

type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run(s session) error {
	return s.print(struct{ Version string }{s.Version}, func() { s.line("azurechute %s", s.Version) })
}

type relayCommand struct {
	Settings string `env:"AZURECHUTE_CONFIG" help:"JSON file with the platform's settings." placeholder:"FILE" required:"" type:"existingfile"`
}

// Help returns the command's detailed help.
func (relayCommand) Help() string {
	return `Relays requests on the platform that its settings file describes. Runs until told
to end by SIGTERM or an interrupt; then it takes no new work, finishes what is in
flight and exits. SIGHUP makes it read the settings again.

Example:
  AZURECHUTE_CONFIG=/etc/azurechute/local.json azurechute relay`
}

// Run relays until ctx ends.
func (c relayCommand) Run(ctx context.Context, s session) error {
	if s.Relay == nil {
		return errNoServer
	}

	return s.Relay(ctx, c.Settings)
}

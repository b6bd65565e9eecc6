package chutecli

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/alecthomas/kong"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"azurechute.example/azurechute/internal/chutecanary"
	"azurechute.example/azurechute/internal/chutefleet"
	"azurechute.example/azurechute/internal/chutequarantine"
	"azurechute.example/azurechute/internal/chutestore"
	"azurechute.example/azurechute/internal/chutetable"
)

// App is what the commands run with; New fills in all but Serve, Relay, ReadLedger, ReadQuarantine, Lift, ReadRollouts and ReadZones.
type App struct {
	// Serve runs the server until ctx ends, with the settings in the named file.
	Serve func(ctx context.Context, settingsPath string) error
	// Relay runs a relaying node until ctx ends, with the platform's settings in the named file.
	Relay func(ctx context.Context, settingsPath string) error
	// ReadLedger reads the rows of cost counters from the platform's store at an address.
	ReadLedger func(ctx context.Context, address string) ([]json.RawMessage, error)
	// ReadZones reads what the platform's store at an address holds of each zone.
	ReadZones func(ctx context.Context, address string) ([]chutefleet.ZoneView, error)
	// ReadRollouts reads the orders to move pools to other versions from the platform's store at an
	// address, and how far they have come.
	ReadRollouts func(ctx context.Context, address string) ([]chutecanary.Rollout, error)
	// ReadQuarantine reads the judgements on requests from the platform's store at an address.
	ReadQuarantine func(ctx context.Context, address string) ([]chutequarantine.Judgement, error)
	// Lift sets a request free; it returns an error if it is not set aside.
	Lift func(ctx context.Context, address, fingerprint string) error
	// Open connects to the platform's services.
	Open  func(cfg chutetable.Settings) Platform
	Clock clockwork.Clock
	// Version is what the version command prints.
	Version string
	Stdin   io.Reader
	Stdout  io.Writer
	Stderr  io.Writer
	// Transport carries the calls to nodes.
	Transport http.RoundTripper
}

// Platform is what the commands need of the platform; the fields are chutetable.Client's methods.
type Platform struct {
	chutestore.Platform

	Scan  func(ctx context.Context, step, prefix string, limit int) ([]chutetable.Row, error)
	VMs   func(ctx context.Context) ([]chutetable.VM, error)
	Close func()
}

// New returns an app on the process's own streams, the system's clock and the real platform.
func New(version string) App {
	clock := clockwork.NewRealClock()

	return App{
		Open: func(cfg chutetable.Settings) Platform {
			client := chutetable.New(cfg, clock, zerolog.Nop())

			return Platform{
				Platform: chutestore.NewPlatform(client),
				Scan:     client.Scan,
				VMs:      client.VMs,
				Close:    client.Close,
			}
		},
		Clock:     clock,
		Version:   version,
		Stdin:     os.Stdin,
		Stdout:    os.Stdout,
		Stderr:    os.Stderr,
		Transport: http.DefaultTransport,
	}
}

// commands is the whole command line.
type commands struct {
	Output string `default:"text" enum:"text,json" help:"Form of the result: text or json." short:"o"`

	Serve      serveCommand       `cmd:"" help:"Run the server of an entry VM."`
	Relay      relayCommand       `cmd:"" help:"Run an entry VM that relays requests on the platform."`
	Config     configCommands     `cmd:"" help:"Check, publish and follow configurations."`
	Cost       costCommand        `cmd:"" help:"Show what each stage cost a team."`
	Quarantine quarantineCommands `cmd:"" help:"List the requests that are set aside since upstreams end under them, and set one free."`

	Rollouts rolloutsCommand `cmd:"" help:"Show which pools are moved to another version of their upstreams, and how far."`

	Zones   zonesCommand   `cmd:"" help:"Show which availability zones are evacuated, and their upstreams."`
	State   stateCommand   `cmd:"" help:"Dump a node's whole state."`
	Explain explainCommand `cmd:"" help:"Tell from logs what became of a request, and why."`
	Summary summaryCommand `cmd:"" help:"Count from logs how requests ended and why, and how long their steps took."`
	Version versionCommand `cmd:"" help:"Print the version of this program."`
}

type configCommands struct {
	Check  checkCommand  `cmd:"" help:"Check the base file with each site's overlay."`
	Show   showCommand   `cmd:"" help:"Print merged configurations, from files or as in force."`
	Diff   diffCommand   `cmd:"" help:"Compare files with what is in force, or with other files."`
	Apply  applyCommand  `cmd:"" help:"Put the files in force at every site."`
	Status statusCommand `cmd:"" help:"Show which version is in force and which each node has."`
	Digest digestCommand `cmd:"" help:"Print the digest of a token read from standard input."`
}

// exited carries kong's wish to exit through its own call stack, as after --help.
type exited int

// Run parses the arguments, runs the command and returns the process's exit code.
func (a App) Run(ctx context.Context, args []string) (code int) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case exited:
			code = int(r)
		default:
			panic(r)
		}
	}()
	var cmds commands
	parser, err := kong.New(&cmds,
		kong.Name("azurechute"),
		kong.Description("Serves multi-stage model pipelines, and lets operators drive it."),
		kong.Writers(a.Stdout, a.Stderr),
		kong.Exit(func(code int) { panic(exited(code)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	if err != nil {
		return a.report(err)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return a.report(usageError{err})
	}

	s := session{App: a, json: cmds.Output == "json", out: bufio.NewWriter(a.Stdout)}
	err = parsed.Run(s)

	// A result that did not get out, as to a full disk, must not look like success.
	if flushErr := s.out.Flush(); flushErr != nil {
		return a.report(fmt.Errorf("cannot write the result: %w", flushErr))
	}

	return a.report(err)
}

// session is one run of one command.
type session struct {
	App

	json bool
	// out is Stdout; it remembers a failed write until Run flushes it.
	out *bufio.Writer
}

func (a App) report(err error) int {
	if err == nil {
		return exitOK
	}
	code, text := explain(err)
	if text != "" {
		_, _ = fmt.Fprintln(a.Stderr, "azurechute: "+text)
	}

	return code
}

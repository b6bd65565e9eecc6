// Command azurechute-standin runs one of the platform's stand-ins for tests and the demo, or loads and checks nodes.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"azurechute.example/azurechute/internal/chutestandin"
)

type commands struct {
	Table   tableCommand   `cmd:"" help:"The transactional table service."`
	Objects objectsCommand `cmd:"" help:"The object store."`
	VMs     vmsCommand     `cmd:"" help:"The list of VMs."                           name:"vms"`
	Engine  engineCommand  `cmd:"" help:"A model engine."`
	Service serviceCommand `cmd:"" help:"An encoder, retriever, reranker or plain service."`

	Load     loadCommand     `cmd:"" help:"Generate load and check every answer."`
	Demo     demoCommand     `cmd:"" help:"Check running nodes with a request of every kind."`
	Verify   verifyCommand   `cmd:"" help:"Sum up what the stand-ins ran; fails when something ran twice that must not."`
	Register registerCommand `cmd:"" help:"Enter a VM into a VM list."`
}

type listenFlags struct {
	Listen string `default:"127.0.0.1:0" help:"Address to serve at, host:port."`
}

func (f listenFlags) run(ctx context.Context, log zerolog.Logger, standin chutestandin.Standin) error {
	return chutestandin.Process{Standin: standin, Listen: f.Listen, Log: log}.Run(ctx)
}

type upstreamFlags struct {
	listenFlags

	Name      string        `help:"Name in the VM list."`
	Zone      string        `help:"Availability zone in the VM list."`
	Pool      string        `help:"Pool in the VM list."`
	VMs       string        `help:"URL of a VM list to enter itself into." name:"vms"`
	LeaveTime time.Duration `default:"3s"                                  help:"Least time of refusing new calls when told to end."`
}

func (f upstreamFlags) run(ctx context.Context, log zerolog.Logger, standin chutestandin.Standin) error {
	return chutestandin.Process{
		Standin: standin, Listen: f.Listen, LeaveTime: f.LeaveTime, VMsURL: f.VMs,
		VM:  chutestandin.VM{Name: f.Name, Zone: f.Zone, Pool: f.Pool},
		Log: log.With().Str("Name", f.Name).Logger(),
	}.Run(ctx)
}

type tableCommand struct {
	listenFlags
	chutestandin.TableSettings
}

// Run serves a table.
func (c tableCommand) Run(ctx context.Context, log zerolog.Logger) error {
	return c.run(ctx, log, chutestandin.NewTable(c.TableSettings))
}

type objectsCommand struct {
	listenFlags
	chutestandin.ObjectsSettings
}

// Run serves an object store.
func (c objectsCommand) Run(ctx context.Context, log zerolog.Logger) error {
	return c.run(ctx, log, chutestandin.NewObjects(c.ObjectsSettings))
}

type vmsCommand struct {
	listenFlags
	chutestandin.VMsSettings

	File string `help:"JSON file with the entries to start with." type:"existingfile"`
}

// Run serves a VM list.
func (c vmsCommand) Run(ctx context.Context, log zerolog.Logger) error {
	var entries []chutestandin.VM
	if c.File != "" {
		read, err := chutestandin.ReadVMList(c.File)
		if err != nil {
			return err
		}

		entries = read
	}

	return c.run(ctx, log, chutestandin.NewVMs(c.VMsSettings, entries...))
}

type engineCommand struct {
	upstreamFlags
	chutestandin.EngineSettings
}

// Run serves an engine.
func (c engineCommand) Run(ctx context.Context, log zerolog.Logger) error {
	return c.run(ctx, log, chutestandin.NewEngine(c.EngineSettings))
}

type serviceCommand struct {
	upstreamFlags
	chutestandin.ServiceSettings
}

// Run serves a service.
func (c serviceCommand) Run(ctx context.Context, log zerolog.Logger) error {
	return c.run(ctx, log, chutestandin.NewService(c.ServiceSettings))
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()

	// A second signal ends the process at once.
	go func() {
		<-ctx.Done()
		stop()
	}()
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	parsed := kong.Parse(&commands{}, kong.Name("azurechute-standin"),
		kong.Description("Stand-ins for the platform and for callers, for tests and the demo."),
		kong.BindTo(ctx, (*context.Context)(nil)), kong.Bind(log))
	parsed.FatalIfErrorf(parsed.Run())
}

// Command azurechute serves model pipelines and lets operators drive it; see its --help.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"azurechute.example/azurechute/internal/chutecli"
	"azurechute.example/azurechute/internal/chutelog"
	"azurechute.example/azurechute/internal/chutenode"
	"azurechute.example/azurechute/internal/chutesettings"
	chuteplatform "azurechute.example/azurechute/platform"
)

func main() {
	os.Exit(run())
}

func run() int {
	// Asked to read its settings again while it starts, a process would end by the
	// signal's default action; so this comes before all else.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()

	// The first signal asks for a graceful end, which has a time limit. A second interrupt ends the process at
	// once. A second SIGTERM does not: a supervisor may send it twice, and requests in flight would be lost.
	go func() {
		<-ctx.Done()
		signal.Notify(signals, syscall.SIGTERM)
		signal.Reset(os.Interrupt)
	}()

	app := chutecli.New(version())
	app.Serve = serve
	app.Relay = func(ctx context.Context, path string) error { return relay(ctx, path, signals) }
	app.ReadLedger = chuteplatform.ReadLedger
	app.ReadZones = chuteplatform.ReadZones
	app.ReadRollouts = chuteplatform.ReadRollouts
	app.ReadQuarantine = chuteplatform.ReadQuarantine
	app.Lift = chuteplatform.LiftQuarantine

	return app.Run(ctx, os.Args[1:])
}

// serve runs an entry node with the settings in a file.
func serve(ctx context.Context, path string) error {
	settings, err := chutesettings.Load(path, os.Environ())
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(settings.LogLevel)
	if err != nil {
		return err
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()

	return chutenode.Serve(ctx, settings, log)
}

// relay runs a node on the platform with the settings in a file.
func relay(ctx context.Context, path string, signals <-chan os.Signal) error {
	log := chutelog.New(os.Stdout, chutelog.Settings{
		Rate: chutelog.DefaultRate, Burst: chutelog.DefaultBurst, Level: zerolog.InfoLevel,
	}, clockwork.NewRealClock())
	defer func() { _ = log.Close() }()
	log.Info().Str("Build", version()).Msg("starting")

	return chuteplatform.Serve(ctx, path, signals, log.Logger)
}

// version returns the module's version, or the commit that a build from a checkout was made of.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}

	return info.Main.Version
}

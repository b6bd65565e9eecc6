package chutecli

import (
	"context"
	"strconv"
	"time"
)

// storeFlags name the platform's store.
type storeFlags struct {
	Platform string        `env:"AZURECHUTE_PLATFORM" help:"Address of the platform's store." placeholder:"HOST:PORT" required:""`
	Timeout  time.Duration `default:"10s" help:"How long the command may take."`
}

type zonesCommand struct {
	storeFlags
}

// Help returns the command's detailed help.
func (zonesCommand) Help() string {
	return `Prints for each availability zone whether the operator has evacuated it, and how many of
its upstreams take calls, are cold or are leaving, as the store has it now. What one node
knows, and for how long, is in its metrics: zones_evacuated and config_age_seconds.

Example:
  azurechute zones --platform 10.200.1.7:8624`
}

// Run lists the zones.
func (c zonesCommand) Run(ctx context.Context, s session) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	zones, err := s.ReadZones(ctx, c.Platform)
	if err != nil {
		return err
	}

	return s.print(zones, func() {
		rows := [][]string{{"ZONE", "EVACUATED", "UPSTREAMS", "COLD", "LEAVING", "UNREADABLE"}}
		for _, z := range zones {
			rows = append(rows, []string{
				z.Zone, strconv.FormatBool(z.Evacuated), strconv.Itoa(z.Upstreams), strconv.Itoa(z.Cold),
				strconv.Itoa(z.Leaving), strconv.Itoa(z.Unreadable),
			})
		}
		s.columns(rows)
	})
}

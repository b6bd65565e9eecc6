package chutecli

import (
	"context"
	"errors"
	"testing"

	"azurechute.example/azurechute/internal/chutefleet"
)

func TestZonesCommand(t *testing.T) {
	app := New("v")
	app.ReadZones = func(_ context.Context, address string) ([]chutefleet.ZoneView, error) {
		if address != "127.0.0.1:1" {
			return nil, errors.New("no store there")
		}

		return []chutefleet.ZoneView{{Zone: "z1", Evacuated: true, Upstreams: 3, Cold: 2}}, nil
	}
	ctx := context.Background()
	expectAppRun(ctx, t, app, exitOK, "true", "zones", "--platform", "127.0.0.1:1")
	expectAppRun(ctx, t, app, exitOK, `"Cold": 2`, "zones", "--platform", "127.0.0.1:1", "-o", "json")
	expectAppRun(ctx, t, app, exitFailed, "no store there", "zones", "--platform", "127.0.0.1:2")
	expectAppRun(ctx, t, app, exitUsage, "platform", "zones")
}

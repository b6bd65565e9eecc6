package chutegate

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"azurechute.example/azurechute/internal/chuterelay"
	"azurechute.example/azurechute/internal/chuteroom"
)

func TestRoomInLog(t *testing.T) {
	// Guards against refusals that can't be explained from the log.
	line := func(v chuterelay.RoomView) string {
		var out bytes.Buffer
		log := zerolog.New(&out)
		log.Log().Object("Room", roomFields(v)).Send()

		return out.String()
	}
	v := chuterelay.RoomView{
		Cause: chuteroom.ReasonOverShare, Wait: 600 * time.Millisecond, FirstEvent: 700 * time.Millisecond, Tolerated: 375 * time.Millisecond,
		Tokens: 500, Work: 40_000, Demanded: 90_000, Share: 30_000,
	}
	c := qt.New(t)
	c.Assert(line(v), qt.Equals, `{"Room":{"Cause":"OverShare","WaitMs":600,"FirstEventMs":700,"ToleratedMs":375,"Tokens":500,"Work":40000,"Demanded":90000,"Share":30000}}`+"\n")
	v.Cause, v.Share = "", -1
	c.Assert(line(v), qt.Equals, `{"Room":{"WaitMs":600,"FirstEventMs":700,"ToleratedMs":375,"Tokens":500,"Work":40000,"Demanded":90000}}`+"\n")
}

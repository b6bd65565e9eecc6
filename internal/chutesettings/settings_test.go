package chutesettings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"azurechute.example/azurechute/pkg/chuteconfig"
	qt "github.com/frankban/quicktest"
)

const file = "entry-1.json"

const good = `{
	"NodeName": "entry-1", "Site": "kura", "Zone": "a", "Region": "tbilisi",
	"ListenHTTP": "10.0.1.4:8080", "ListenPeer": ":9090", "AdvertisePeer": "10.0.1.4:9090",
	"TableURL": "http://10.0.9.1:7000", "ObjectsURL": "http://10.0.9.1:7001", "VMsURL": "http://10.0.9.1:7002",
	"ShutdownLinger": "5s", "Peers": ["10.0.1.5:9090"]
}`

func with(from, to string) string {
	return strings.Replace(good, from, to, 1)
}

func TestSettingsAreReadAndCompleted(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), file)
	c.Assert(os.WriteFile(path, []byte(good), 0o600), qt.IsNil)

	s, err := Load(path, []string{"HOME=/", "AZURECHUTE_SEED=7", "AZURECHUTE_PEERS=10.0.1.6:9090, 10.0.1.7:9090", "AZURECHUTE_SHUTDOWNLINGER=250ms"})
	c.Assert(err, qt.IsNil)
	c.Check(s, qt.DeepEquals, Settings{
		NodeName: "entry-1", Site: "kura", Zone: "a", Region: "tbilisi",
		ListenHTTP: "10.0.1.4:8080", ListenPeer: ":9090", AdvertiseHTTP: "10.0.1.4:8080", AdvertisePeer: "10.0.1.4:9090",
		Peers:    []string{"10.0.1.6:9090", "10.0.1.7:9090"},
		TableURL: "http://10.0.9.1:7000", ObjectsURL: "http://10.0.9.1:7001", VMsURL: "http://10.0.9.1:7002",
		TableWritesPerSecond: defaultWritesPerSecond, TableReadsPerSecond: defaultReadsPerSecond,
		ShutdownLinger: chuteconfig.Duration(250 * time.Millisecond), LogLevel: "info", Seed: 7,
		KeyAskTimeout: chuteconfig.Duration(defaultKeyAskTimeout),
	})

	bound := s.WithAdvertise("10.0.1.4:41", "10.0.1.4:42").WithSeed(8)
	c.Check(bound.AdvertisePeer, qt.Equals, "10.0.1.4:42")
	c.Check(s.Seed, qt.Equals, uint64(7))
}

// expectFinding checks that there is one finding, with everything an operator needs to mend it.
func expectFinding(t *testing.T, err error, where, field, value string) {
	t.Helper()

	c := qt.New(t)

	var findings Findings

	c.Assert(errors.As(err, &findings), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(findings, qt.HasLen, 1, qt.Commentf("%v", err))
	c.Check(findings[0].File, qt.Equals, where)
	c.Check(findings[0].Field, qt.Equals, field)
	c.Check(findings[0].Value, qt.Equals, value)
	c.Check(findings[0].Problem, qt.Not(qt.Equals), "")
	c.Check(findings[0].Mend, qt.Not(qt.Equals), "")
	c.Check(err.Error(), qt.Contains, where)
}

func TestFindingsNameFieldAndValue(t *testing.T) {
	for name, test := range map[string]struct{ body, field, value string }{
		"no JSON":           {"NodeName: entry-1", "", ""},
		"cut off":           {strings.TrimSuffix(good, "}"), "", ""},
		"something follows": {good + "{}", "", ""},
		"unknown field":     {with(`"Region"`, `"Regoin"`), "Regoin", ""},
		"other case":        {with(`"Region"`, `"region"`), "region", ""},
		"twice":             {with(`"Site"`, `"Zone": "b", "Site"`), "Zone", `"a"`},
		"wrong type":        {with(`"kura"`, `3`), "Site", "3"},
		"null":              {with(`"kura"`, `null`), "Site", "null"},
		"missing":           {with(`"Site": "kura",`, ``), "Site", ""},
		"bad duration":      {with(`"5s"`, `"5"`), "ShutdownLinger", `"5"`},
		"negative duration": {with(`"5s"`, `"-5s"`), "ShutdownLinger", "-5s"},
		"no time to ask":    {with(`"ShutdownLinger": "5s"`, `"KeyAskTimeout": "0s"`), "KeyAskTimeout", "0s"},
		"no port":           {with(`10.0.1.4:8080`, `10.0.1.4`), "ListenHTTP", "10.0.1.4"},
		"port too high":     {with(`":9090"`, `":99999"`), "ListenPeer", ":99999"},
		"host name":         {with(`10.0.1.4:9090`, `entry-1:9090`), "AdvertisePeer", "entry-1:9090"},
		"unreachable":       {with(`10.0.1.4:9090`, `0.0.0.0:9090`), "AdvertisePeer", "0.0.0.0:9090"},
		"peer":              {with(`10.0.1.5:9090`, `:9090`), "Peers", ":9090"},
		"URL":               {with(`http://10.0.9.1:7000`, `10.0.9.1:7000`), "TableURL", "10.0.9.1:7000"},
		"rate":              {with(`"Site"`, `"TableWritesPerSecond": 0, "Site"`), "TableWritesPerSecond", "0"},
		"log level":         {with(`"Site"`, `"LogLevel": "loud", "Site"`), "LogLevel", "loud"},
		"operators":         {with(`"Site"`, `"ListenOperator": "here", "Site"`), "ListenOperator", "here"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(file, []byte(test.body), nil)
			expectFinding(t, err, file, test.field, test.value)
		})
	}
}

func TestFindingsNameTheVariable(t *testing.T) {
	_, err := Parse(file, []byte(good), []string{"AZURECHUTE_SEED=many"})
	expectFinding(t, err, environment, "AZURECHUTE_SEED", "many")
}

func TestFileThatCannotBeRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), file)
	_, err := Load(path, nil)
	expectFinding(t, err, path, "", "")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte(`{"Seed": 1e99}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := Parse(file, body, nil)
		qt.New(t).Check(err != nil || s.NodeName != "", qt.IsTrue)
	})
}

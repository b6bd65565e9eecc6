package chutecli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutestandin"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

const examples = "../../examples/"

var kuraFiles = []string{"--base", examples + "base.json", "--site", examples + "kura/site.json"}

// platform is the platform's stand-ins behind real connections.
type platform struct {
	table   *chutestandin.Table
	flags   []string
	baseURL string
}

func newPlatform(t *testing.T) platform {
	t.Helper()
	table := chutestandin.NewTable(chutestandin.TableSettings{})
	tableURL := serve(t, table)
	objectsURL := serve(t, chutestandin.NewObjects(chutestandin.ObjectsSettings{}))

	return platform{table, []string{"--table", tableURL, "--objects", objectsURL}, tableURL}
}

func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)

	return server.URL
}

// kuraWith writes Kura's example with another MaxAttempts and returns the flags that name it.
func kuraWith(t *testing.T, attempts string) []string {
	t.Helper()
	c := qt.New(t)
	body, err := os.ReadFile(examples + "base.json")
	c.Assert(err, qt.IsNil)
	name := filepath.Join(t.TempDir(), "base.json")
	changed := strings.Replace(string(body), `"MaxAttempts": 3`, `"MaxAttempts": `+attempts, 1)
	c.Assert(os.WriteFile(name, []byte(changed), 0o600), qt.IsNil)

	return []string{"--base", name, "--site", examples + "kura/site.json"}
}

// apply returns the arguments of config apply.
func (p platform) apply(files []string, more ...string) []string {
	return join([]string{"config", "apply", "--operator", "ann"}, files, p.flags, more)
}

func join(parts ...[]string) []string {
	var all []string
	for _, part := range parts {
		all = append(all, part...)
	}

	return all
}

// expectRun runs a command and expects its exit code and a part of what it prints; returns standard output.
func expectRun(t *testing.T, code int, want string, args ...string) string {
	t.Helper()

	return expectAppRun(context.Background(), t, New("v1"), code, want, args...)
}

func expectAppRun(ctx context.Context, t *testing.T, app App, code int, want string, args ...string) string {
	t.Helper()
	c := qt.New(t)
	var stdout, stderr bytes.Buffer
	app.Stdout, app.Stderr = &stdout, &stderr
	got := app.Run(ctx, args)
	all := stdout.String() + stderr.String()
	c.Assert(got, qt.Equals, code, qt.Commentf("%s", all))
	c.Assert(all, qt.Contains, want)

	return stdout.String()
}

func TestSmallCommands(t *testing.T) {
	c := qt.New(t)
	expectRun(t, exitOK, "azurechute v1", "version")
	expectRun(t, exitOK, "Commands:", "--help")
	expectRun(t, exitOK, "Example", "config", "apply", "--help")
	expectRun(t, exitUsage, "--help", "config", "no-such-command")
	expectRun(t, exitUsage, "missing flags", "serve")
	expectRun(t, exitFailed, "no server", "serve", "--settings", examples+"base.json")

	ctx, app := context.Background(), New("")
	var served string
	app.Serve = func(_ context.Context, path string) error { served = path; return nil }
	expectAppRun(ctx, t, app, exitOK, "", "serve", "--settings", examples+"base.json")
	c.Assert(filepath.Base(served), qt.Equals, "base.json")

	app.Stdin = strings.NewReader("kura-members-token\n")
	expectAppRun(ctx, t, app, exitOK, chuteconfig.TokenDigest("kura-members-token"), "config", "digest")
	expectAppRun(ctx, t, app, exitUsage, "no token", "config", "digest")
}

func TestConfigFiles(t *testing.T) {
	c := qt.New(t)
	expectRun(t, exitOK, "no findings; sites: kura", join([]string{"config", "check"}, kuraFiles)...)
	expectRun(t, exitNo, "base.json: Policy.MaxAttempts = 0: out of range; write",
		join([]string{"config", "check"}, kuraWith(t, "0"))...)
	expectRun(t, exitUsage, "there is no file", "config", "check", "--base", "x", "--site", "y")
	expectRun(t, exitUsage, "--site", "config", "check", "--base", "x")
	expectRun(t, exitOK, `"Weight": 5`, join([]string{"config", "show"}, kuraFiles)...)

	var result checkResult
	out := expectRun(t, exitNo, "", join([]string{"config", "check", "--output", "json"}, kuraWith(t, "0"))...)
	c.Assert(json.Unmarshal([]byte(out), &result), qt.IsNil)
	c.Assert(result.Findings, qt.HasLen, 1)

	old := []string{"--old-base", examples + "base.json", "--old-site", examples + "kura/site.json"}
	expectRun(t, exitNo, "~ kura.Policy.MaxAttempts: 3 -> 2", join([]string{"config", "diff"}, kuraWith(t, "2"), old)...)
	expectRun(t, exitOK, "", join([]string{"config", "diff"}, kuraFiles, old)...)
}

func TestStateSendsTheToken(t *testing.T) {
	url := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/debug/state" || r.Header.Get("Authorization") != "Bearer secret" {
			w.WriteHeader(http.StatusUnauthorized)

			return
		}
		_, _ = w.Write([]byte(`{"Requests":{}}`))
	}))
	expectRun(t, exitOK, `"Requests": {}`, "state", "--node", url, "--token", "secret")
	expectRun(t, exitFailed, "give an operator's token", "state", "--node", url, "--token", "other")
	expectRun(t, exitFailed, "peer "+url, "state", "--node", url)
}

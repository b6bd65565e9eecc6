package chuteproof

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"azurechute.example/azurechute/internal/chuteprompt"
	"azurechute.example/azurechute/internal/chutesettings"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

// naiveProcess is what one would write first: a plain router that goes round-robin over the platform's list, sends a
// stage again when its call fails, charges the team before it answers, and ends when it is told to. It knows no
// claims, no attempt ids, no leaving, no drain and no progress timers, and it passes on what comes.
type naiveProcess struct {
	settings chutesettings.Settings
	cfg      chuteconfig.Config
	client   *http.Client

	mu   sync.Mutex
	vms  []naiveVM
	turn int
}

type naiveVM struct {
	Name, Address, Kind, Pool, State string
}

type naiveSubmission struct {
	RequestID, Workspace, Pipeline string
	Deadline                       chuteconfig.Duration
	Unrepeatable                   bool
	Input                          json.RawMessage
}

var errNaive = errors.New("no upstream has answered")

const (
	naiveListPeriod = 200 * time.Millisecond
	naiveStageTries = 3
)

// runNaiveNode serves until the process ends.
func runNaiveNode(configPath, settingsPath string) error {
	settings, err := chutesettings.Load(settingsPath, nil)
	if err != nil {
		return err
	}
	body, err := os.ReadFile(configPath)
	if err != nil {
		return err
	}
	n := &naiveProcess{settings: settings, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	if n.cfg, err = chuteconfig.Decode(body); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", settings.ListenHTTP)
	if err != nil {
		return err
	}
	go n.watchList()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", n.serveReady)
	mux.HandleFunc("POST /v1/requests", n.serveRequest)
	log := zerolog.New(os.Stderr)
	log.Info().Str("Callers", listener.Addr().String()).Msg("serving")

	return (&http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}).Serve(listener)
}

// watchList reads the platform's list again and again and believes it.
func (n *naiveProcess) watchList() {
	for ; ; time.Sleep(naiveListPeriod) {
		resp, err := n.client.Get(n.settings.VMsURL + "/v1/vms")
		if err != nil {
			continue
		}
		var list struct{ VMs []naiveVM }
		err = json.NewDecoder(resp.Body).Decode(&list)
		_ = resp.Body.Close()
		if err == nil {
			n.mu.Lock()
			n.vms = list.VMs
			n.mu.Unlock()
		}
	}
}

func (n *naiveProcess) serveReady(w http.ResponseWriter, _ *http.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.vms) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// next picks the next upstream of a pool in turn.
func (n *naiveProcess) next(pool string) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for range n.vms {
		n.turn++
		vm := n.vms[n.turn%len(n.vms)]
		if vm.Kind == "Upstream" && vm.Pool == pool && vm.State == "Live" {
			return vm.Address, true
		}
	}

	return "", false
}

func (n *naiveProcess) serveRequest(w http.ResponseWriter, r *http.Request) {
	var req naiveSubmission
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		w.WriteHeader(http.StatusBadRequest)

		return
	}
	deadline := cmp.Or(req.Deadline, n.cfg.Pipelines[req.Pipeline].Deadline)
	ctx, cancel := context.WithTimeout(r.Context(), deadline.Std())
	defer cancel()
	told := &naiveAnswer{w: w, streamed: strings.Contains(r.Header.Get("Accept"), "text/event-stream")}
	output, err := n.runStages(ctx, req, told)
	if err != nil {
		told.refuse(err)

		return
	}
	told.end(req, output)
}

// runStages runs one stage after the other and charges the team for them.
func (n *naiveProcess) runStages(ctx context.Context, req naiveSubmission, told *naiveAnswer) (json.RawMessage, error) {
	pipeline := n.cfg.Pipelines[req.Pipeline]
	var output json.RawMessage
	for _, stage := range pipeline.Stages {
		next, units, err := n.runStage(ctx, req, stage, output, told)
		if err != nil {
			return nil, err
		}
		output = next
		if err := n.charge(ctx, pipeline.Team, stage.Name, units); err != nil {
			return nil, err
		}
	}

	return output, nil
}

// runStage tries the upstreams in turn.
func (n *naiveProcess) runStage(
	ctx context.Context, req naiveSubmission, stage chuteconfig.Stage, output json.RawMessage, told *naiveAnswer,
) (json.RawMessage, int64, error) {
	for range naiveStageTries {
		address, ok := n.next(stage.Pool)
		if !ok {
			break
		}
		var next json.RawMessage
		var units int64
		var err error
		if n.cfg.Pools[stage.Pool].Kind == chuteconfig.PoolEngine {
			next, units, err = n.generate(ctx, address, req, stage, output, told)
		} else {
			next, units, err = n.run(ctx, address, req, stage, output)
		}
		if err == nil {
			return next, units, nil
		}
	}

	return nil, 0, errNaive
}

// naiveCall is the body of either call.
type naiveCall struct {
	AttemptID, RequestID, Workspace, Pipeline, Stage string
	Unrepeatable                                     bool
	Input, Context                                   json.RawMessage
	Prompt                                           string
	MaxTokens                                        int
}

func (n *naiveProcess) call(ctx context.Context, url string, call naiveCall) (*http.Response, error) {
	body, err := json.Marshal(call)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := n.client.Do(r)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()

		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}

	return resp, nil
}

func naiveCallOf(req naiveSubmission, stage chuteconfig.Stage) naiveCall {
	return naiveCall{
		AttemptID: req.RequestID, RequestID: req.RequestID, Workspace: req.Workspace, Pipeline: req.Pipeline,
		Stage: stage.Name, Unrepeatable: req.Unrepeatable || stage.Unrepeatable, MaxTokens: stage.MaxTokens,
	}
}

func (n *naiveProcess) run(
	ctx context.Context, address string, req naiveSubmission, stage chuteconfig.Stage, output json.RawMessage,
) (json.RawMessage, int64, error) {
	call := naiveCallOf(req, stage)
	call.Input, call.Context = req.Input, output
	resp, err := n.call(ctx, "http://"+address+"/v1/run", call)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Output json.RawMessage
		Units  int64
	}
	err = json.NewDecoder(resp.Body).Decode(&answer)

	return answer.Output, answer.Units, err
}

// generate takes the tokens as they come, and the end of the stream for the end of the text.
func (n *naiveProcess) generate(
	ctx context.Context, address string, req naiveSubmission, stage chuteconfig.Stage, output json.RawMessage, told *naiveAnswer,
) (json.RawMessage, int64, error) {
	call := naiveCallOf(req, stage)
	call.Prompt = chuteprompt.Prompt(req.Input, output)
	resp, err := n.call(ctx, "http://"+address+"/v1/generate", call)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		var frame struct {
			Text string
			Done bool
		}
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok && json.Unmarshal([]byte(data), &frame) == nil && !frame.Done {
			told.token(frame.Text)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, 0, err
	}
	text, err := json.Marshal(told.text.String())

	return text, int64(told.tokens), err
}

// naiveAnswer is the caller's side of a request.
type naiveAnswer struct {
	w        http.ResponseWriter
	streamed bool
	tokens   int
	text     strings.Builder
}

func (a *naiveAnswer) token(text string) {
	if a.streamed {
		if a.tokens == 0 {
			a.w.Header().Set("Content-Type", "text/event-stream")
		}
		a.frame(map[string]any{"Offset": a.tokens, "Text": text})
	}
	a.tokens++
	a.text.WriteString(text)
}

func (a *naiveAnswer) frame(body map[string]any) {
	encoded, err := json.Marshal(body)
	if err == nil {
		_, err = a.w.Write([]byte("data: " + string(encoded) + "\n\n"))
	}
	if err == nil {
		_ = http.NewResponseController(a.w).Flush()
	}
}

// end states length and digest of whatever was gathered.
func (a *naiveAnswer) end(req naiveSubmission, output json.RawMessage) {
	body := map[string]any{"RequestID": req.RequestID, "Outcome": "Answered"}
	if a.tokens > 0 {
		body["Length"], body["Digest"] = a.tokens, chuteprompt.Digest(a.text.String())
	} else {
		body["Length"], body["Digest"] = len(output), chuteprompt.Digest(string(output))
	}
	if a.tokens > 0 && a.streamed {
		a.frame(body)

		return
	}
	body["Output"] = output
	_ = json.NewEncoder(a.w).Encode(body)
}

// refuse tells a caller who has no answer that nothing was run.
func (a *naiveAnswer) refuse(err error) {
	if a.streamed && a.tokens > 0 {
		return
	}
	a.w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(a.w).Encode(map[string]any{
		"Outcome": "NotRun", "Problem": err.Error(), "RetryAfterMilliseconds": 1000,
	})
}

// post sends a JSON body to the platform's table and reads the answer's body.
func (n *naiveProcess) post(ctx context.Context, path string, body, into any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, n.settings.TableURL+path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	resp, err := n.client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}

	return json.Unmarshal(answer, into)
}

// charge adds to the team's sum in the table, again and again until the table has answered.
func (n *naiveProcess) charge(ctx context.Context, team, stage string, units int64) error {
	key := naiveCostPrefix + team + "/" + stage
	for {
		err := n.addUnits(ctx, key, units)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		time.Sleep(naiveListPeriod)
	}
}

// naiveCostPrefix is where the naive nodes keep their sums in the table.
const naiveCostPrefix = "naive/"

func (n *naiveProcess) addUnits(ctx context.Context, key string, units int64) error {
	var have struct{ Rows []struct{ Value int64 } }
	if err := n.post(ctx, "/v1/read", map[string]any{"Keys": []string{key}}, &have); err != nil {
		return err
	}
	for _, row := range have.Rows {
		units += row.Value
	}
	var ignored any

	return n.post(ctx, "/v1/transact", map[string]any{"Writes": []any{map[string]any{"Key": key, "Value": units}}}, &ignored)
}

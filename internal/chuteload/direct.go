package chuteload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"azurechute.example/azurechute/internal/chuteprompt"
	"azurechute.example/azurechute/internal/chutestandin"
	"azurechute.example/azurechute/pkg/chuteapi"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

const (
	directIdle     = 1024
	maxFrameBytes  = 16 << 20
	listTimeout    = 5 * time.Second
	upstreamKind   = "Upstream"
	directAttempts = "direct"
)

var errNoLastFrame = errors.New("the stream ended without its last frame")

// Direct calls a pipeline's stages one after another at the stand-ins themselves, with no node in between.
type Direct struct {
	config chuteconfig.Config
	pools  map[string]*directPool
	http   *http.Client
	calls  atomic.Uint64
}

type directPool struct {
	addresses []string
	turn      atomic.Uint64
}

// stageCall holds the fields of a call to an engine or a service; the stand-ins ignore those that are not theirs.
type stageCall struct {
	AttemptID            string
	RequestID            string
	Workspace            string
	Pipeline             string
	Stage                string
	DeadlineMilliseconds int64
	Unrepeatable         bool            `json:",omitempty"`
	Input                json.RawMessage `json:",omitempty"`
	Context              json.RawMessage `json:",omitempty"`
	Model                string          `json:",omitempty"`
	Version              string          `json:",omitempty"`
	Adapter              string          `json:",omitempty"`
	Prompt               string          `json:",omitempty"`
	MaxTokens            int             `json:",omitempty"`
	Priority             int             `json:",omitempty"`
}

type stageReply struct {
	AttemptID string
	Output    json.RawMessage
}

type stageFrame struct {
	AttemptID string
	Offset    int
	Text      string
	Done      bool
	Length    int
	Digest    string
}

// NewDirect returns a caller of the live upstreams in the list, pool by pool in turn.
func NewDirect(cfg chuteconfig.Config, vms []chutestandin.VM) *Direct {
	d := &Direct{config: cfg, pools: map[string]*directPool{}, http: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: directIdle, DisableCompression: true},
	}}

	for _, vm := range vms {
		if vm.Kind != upstreamKind || vm.State != "Live" {
			continue
		}

		if d.pools[vm.Pool] == nil {
			d.pools[vm.Pool] = &directPool{}
		}

		d.pools[vm.Pool].addresses = append(d.pools[vm.Pool].addresses, vm.Address)
	}

	return d
}

// ListVMs reads the platform's list.
func ListVMs(ctx context.Context, listURL string) ([]chutestandin.VM, error) {
	var list chutestandin.VMList
	err := getJSON(ctx, strings.TrimRight(listURL, "/")+"/v1/vms", &list)

	return list.VMs, err
}

func getJSON(ctx context.Context, url string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()

	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}

	failed := oops.In("load").With("step", "read", "peer", url)

	resp, err := http.DefaultClient.Do(req) //nolint:gosec // the URL is named on the command line
	if err != nil {
		return failed.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()

	if resp.StatusCode != http.StatusOK {
		return failed.Errorf("status %d", resp.StatusCode)
	}

	return failed.Wrap(json.NewDecoder(resp.Body).Decode(into))
}

// Send is a Sender.
func (d *Direct) Send(ctx context.Context, call Call, onToken func()) (chuteapi.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, call.Request.Deadline)
	defer cancel()

	pipeline := d.config.Pipelines[call.Request.Pipeline]
	answer := chuteapi.Answer{RequestID: call.Request.RequestID, Sends: 1}

	var stageContext json.RawMessage

	for i, stage := range pipeline.Stages {
		told := func() {}
		if i == len(pipeline.Stages)-1 && call.Streamed {
			told = onToken
		}

		output, err := d.stage(ctx, call.Request, stage, stageContext, told)
		if err != nil {
			return chuteapi.Answer{}, err
		}

		stageContext = output.Output
		answer.Text, answer.Output, answer.Length, answer.Digest = output.Text, output.Output, output.Length, output.Digest
	}

	return answer, nil
}

func (d *Direct) stage(
	ctx context.Context, r chuteapi.Request, stage chuteconfig.Stage, stageContext json.RawMessage, onToken func(),
) (chuteapi.Answer, error) {
	pool := d.pools[stage.Pool]
	if pool == nil {
		return chuteapi.Answer{}, oops.In("load").With("step", stage.Name).Errorf("no upstream in pool %q", stage.Pool)
	}

	address := pool.addresses[pool.turn.Add(1)%uint64(len(pool.addresses))]
	failed := oops.In("load").With("step", stage.Name, "peer", address)
	call := stageCall{
		AttemptID: fmt.Sprintf("%s-%d", directAttempts, d.calls.Add(1)), RequestID: r.RequestID, Workspace: r.Workspace,
		Pipeline: r.Pipeline, Stage: stage.Name, DeadlineMilliseconds: timeLeft(ctx).Milliseconds(), Unrepeatable: stage.Unrepeatable,
	}

	if d.config.Pools[stage.Pool].Kind != chuteconfig.PoolEngine {
		call.Input, call.Context = r.Input, stageContext
		answer, err := d.run(ctx, address, call)

		return answer, failed.Wrap(err)
	}

	model := d.config.Models[stage.Model]
	call.Model, call.Version, call.Adapter = stage.Model, model.Version, model.Adapter
	call.Prompt, call.MaxTokens = chuteprompt.Prompt(r.Input, stageContext), stage.MaxTokens
	call.Priority = d.config.Pipelines[r.Pipeline].Priority
	answer, err := d.generate(ctx, address, call, onToken)

	return answer, failed.Wrap(err)
}

func timeLeft(ctx context.Context) time.Duration {
	due, _ := ctx.Deadline()

	return time.Until(due)
}

func (d *Direct) post(ctx context.Context, address, path string, call stageCall) (*http.Response, error) {
	body, err := json.Marshal(call)
	if err != nil {
		return nil, err
	}

	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}

	req.Header.Set("Content-Type", "application/json")

	resp, err := d.http.Do(req) //nolint:gosec // the platform's list names the address
	if err != nil {
		return nil, err
	}

	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()

		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}

	return resp, nil
}

func (d *Direct) run(ctx context.Context, address string, call stageCall) (chuteapi.Answer, error) {
	resp, err := d.post(ctx, address, "/v1/run", call)
	if err != nil {
		return chuteapi.Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()

	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return chuteapi.Answer{}, err
	}

	var reply stageReply
	if err := json.Unmarshal(raw, &reply); err != nil {
		return chuteapi.Answer{}, err
	}

	return chuteapi.Answer{Output: reply.Output, Length: len(reply.Output)}, nil
}

func (d *Direct) generate(ctx context.Context, address string, call stageCall, onToken func()) (chuteapi.Answer, error) {
	resp, err := d.post(ctx, address, "/v1/generate", call)
	if err != nil {
		return chuteapi.Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()

	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxFrameBytes)

	var text strings.Builder

	for lines.Scan() {
		data, found := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !found {
			continue
		}

		var frame stageFrame
		if err := json.Unmarshal(data, &frame); err != nil {
			return chuteapi.Answer{}, err
		}

		if frame.Done {
			return chuteapi.Answer{Text: text.String(), Output: quoted(text.String()), Length: frame.Length, Digest: frame.Digest}, nil
		}

		text.WriteString(frame.Text)
		onToken()
	}

	return chuteapi.Answer{}, errors.Join(lines.Err(), errNoLastFrame)
}

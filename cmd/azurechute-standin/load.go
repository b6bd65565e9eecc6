package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/oops"

	"azurechute.example/azurechute/internal/chuteload"
	"azurechute.example/azurechute/pkg/chuteapi"
	"azurechute.example/azurechute/pkg/chuteconfig"
)

var errWrong = errors.New("some answers were wrong")

// configFlags name the configuration in force at the nodes.
type configFlags struct {
	Base  string            `help:"Base file of the configuration."                             placeholder:"FILE" required:"" type:"existingfile"`
	Site  string            `help:"Overlay of the site."                                        placeholder:"FILE" required:"" type:"existingfile"`
	Token map[string]string `help:"Token of a workspace; by default SITE-WORKSPACE-token, as in the examples." placeholder:"WORKSPACE=TOKEN"`
}

func (f configFlags) load() (chuteconfig.Config, error) {
	files := [2]chuteconfig.File{{Name: f.Base}, {Name: f.Site}}
	for i := range files {
		body, err := os.ReadFile(files[i].Name)
		if err != nil {
			return chuteconfig.Config{}, oops.In("load").With("step", "read configuration").Wrap(err)
		}

		files[i].Body = body
	}

	cfg, findings := chuteconfig.Load(files[0], files[1])
	if len(findings) > 0 {
		return cfg, chuteconfig.FindingsError(findings)
	}

	return cfg, nil
}

// settings returns how to call the nodes of the site.
func (f configFlags) settings(cfg chuteconfig.Config, maxSends int) chuteapi.Settings {
	tokens := map[string]string{}
	for name := range cfg.Workspaces {
		tokens[name] = cfg.Site + "-" + name + "-token"
	}

	for name, token := range f.Token {
		tokens[name] = token
	}

	return chuteapi.Settings{Tokens: tokens, MaxSends: maxSends}
}

// planFlags make a plan of one phase where there is no file.
type planFlags struct {
	Plan        string             `help:"JSON file with the plan; the other flags of the plan then only fill what it leaves out." placeholder:"FILE" type:"existingfile"`
	Rate        float64            `help:"Arrivals a second."                                        default:"10"`
	Duration    time.Duration      `help:"Time during which requests arrive."                        default:"10s"`
	Mix         map[string]float64 `help:"Weight of a pipeline; by default all alike."               placeholder:"PIPELINE=WEIGHT"`
	Workspace   map[string]float64 `help:"Weight of a workspace; by default all alike."              placeholder:"WORKSPACE=WEIGHT"`
	Streamed    float64            `help:"Share of requests that ask for a stream, 0 to 1."          default:"0.5"`
	InputBytes  int                `help:"Size of each request's own text."                          default:"400"`
	PrefixBytes int                `help:"Size of the text that requests of a workspace share."      default:"1024"`
	Seed        uint64             `help:"Seed of all random choices; 0 takes the plan's."`
}

func (f planFlags) load(cfg chuteconfig.Config) (chuteload.Plan, error) {
	plan := chuteload.Plan{Streamed: f.Streamed}

	if f.Plan != "" {
		read, err := chuteload.ReadPlan(f.Plan)
		if err != nil {
			return plan, err
		}

		plan = read
	}

	if f.Seed != 0 {
		plan.Seed = f.Seed
	}

	if len(plan.Phases) == 0 {
		plan.Phases = []chuteload.Phase{{Name: "steady", Rate: f.Rate, Duration: chuteconfig.Duration(f.Duration)}}
	}

	if len(plan.Workspaces) == 0 {
		plan.Workspaces = f.Workspace
	}

	if len(plan.Mix) == 0 {
		plan.Mix = f.mix(cfg)
	}

	if plan.Shapes == nil {
		plan.Shapes = map[string]chuteload.Shape{}
		for pipeline := range cfg.Pipelines {
			plan.Shapes[pipeline] = chuteload.Shape{InputBytes: f.InputBytes, PrefixBytes: f.PrefixBytes}
		}
	}

	return plan, nil
}

func (f planFlags) mix(cfg chuteconfig.Config) []chuteload.Share {
	weights := f.Mix
	if len(weights) == 0 {
		weights = map[string]float64{}
		for pipeline := range cfg.Pipelines {
			weights[pipeline] = 1
		}
	}

	return chuteload.MixOf(weights)
}

type loadCommand struct {
	configFlags
	planFlags

	Node        []string `help:"Node to send to, as URL or ZONE=URL; once for each."                  placeholder:"URL" sep:"none"`
	VMs         string   `help:"URL of the VM list by which --direct and --compare find the stand-ins." name:"vms" placeholder:"URL"`
	Direct      bool     `help:"Call the stand-ins' stages directly, with no node in between."`
	Compare     bool     `help:"Send the same requests directly and through the nodes, and compare."`
	Pairs       int      `help:"With --compare: pairs sent one at a time."                             default:"200"`
	Warm        int      `help:"With --compare: pairs sent before and not counted."                    default:"20"`
	Rounds      int      `help:"With --compare: rounds of each way at --rate for --duration."          default:"2"`
	Verify      bool     `help:"Compare each answer with what the stand-ins must give."                default:"true" negatable:""`
	MaxSends    int      `help:"Most sends of one request, the first included."                        default:"1"`
	MaxInFlight int      `help:"Most requests in flight; arrivals beyond are not sent and counted."    default:"4096"`
	Name        string   `help:"Start of every RequestID; by default from the time."`
	Output      string   `help:"What to print on standard output."                                     default:"json" enum:"json,table"`
}

// Help returns the command's detailed help.
func (loadCommand) Help() string {
	return `Sends open-loop load and checks every answer. The report goes to standard output
as JSON and to standard error as a table; with --output table only the table is
printed, to standard output. Exits with 1 when an answer was wrong.`
}

// Run generates the load.
func (c loadCommand) Run(ctx context.Context) error {
	cfg, err := c.configFlags.load()
	if err != nil {
		return err
	}

	plan, err := c.planFlags.load(cfg)
	if err != nil {
		return err
	}

	runner := chuteload.Runner{
		Config: cfg, Clock: clockwork.NewRealClock(), Name: runName(c.Name), Verify: c.Verify, MaxInFlight: c.MaxInFlight,
	}

	switch {
	case c.Compare:
		return c.compare(ctx, runner, plan)
	case c.Direct:
		direct, err := c.direct(ctx, cfg)
		if err != nil {
			return err
		}

		return c.open(ctx, runner, plan, "direct", direct)
	}

	through, err := c.through(cfg, runner.Clock)
	if err != nil {
		return err
	}

	return c.open(ctx, runner, plan, "through "+strings.Join(c.Node, " "), through)
}

func runName(name string) string {
	if name != "" {
		return name
	}

	return "load-" + strconv.FormatInt(time.Now().UnixMilli(), 36)
}

func (c loadCommand) direct(ctx context.Context, cfg chuteconfig.Config) (chuteload.Sender, error) {
	if c.VMs == "" {
		return nil, oops.In("load").Errorf("--vms is needed to find the stand-ins")
	}

	vms, err := chuteload.ListVMs(ctx, c.VMs)
	if err != nil {
		return nil, err
	}

	return chuteload.NewDirect(cfg, vms).Send, nil
}

func (c loadCommand) through(cfg chuteconfig.Config, clock clockwork.Clock) (chuteload.Sender, error) {
	nodes := make([]chuteload.Node, len(c.Node))
	for i, node := range c.Node {
		zone, url, found := strings.Cut(node, "=")
		if !found {
			zone, url = "", node
		}

		nodes[i] = chuteload.Node{Zone: zone, URL: url}
	}

	if len(nodes) == 0 {
		return nil, oops.In("load").Errorf("--node is needed")
	}

	return chuteload.Through(nodes, c.settings(cfg, c.MaxSends), clock)
}

func (c loadCommand) open(ctx context.Context, runner chuteload.Runner, plan chuteload.Plan, mode string, send chuteload.Sender) error {
	report, err := runner.Open(ctx, plan, mode, send)
	if err != nil && report.StartedAt.IsZero() {
		return err
	}

	if printed := c.print(report); printed != nil {
		return printed
	}

	if err == nil && report.All.Wrong+report.UnmeasuredWrong > 0 {
		err = errWrong
	}

	return err
}

func (c loadCommand) compare(ctx context.Context, runner chuteload.Runner, plan chuteload.Plan) error {
	direct, err := c.direct(ctx, runner.Config)
	if err != nil {
		return err
	}

	through, err := c.through(runner.Config, runner.Clock)
	if err != nil {
		return err
	}

	report, err := runner.Compare(ctx, plan, chuteload.Comparison{
		Pairs: c.Pairs, Warm: c.Warm, Rounds: c.Rounds,
		Rate: plan.Phases[0].Rate, RoundTime: plan.Phases[0].Duration.Std(),
	}, direct, through)
	if err != nil {
		return err
	}

	return c.print(report)
}

func (c loadCommand) print(report chuteload.Tabled) error {
	if c.Output == "table" {
		return report.WriteTable(os.Stdout)
	}

	if err := report.WriteTable(os.Stderr); err != nil {
		return err
	}

	encoded, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}

	_, err = fmt.Println(string(encoded))

	return err
}

package chuteproof

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	qt "github.com/frankban/quicktest"

	"azurechute.example/azurechute/internal/chutesettings"
	"azurechute.example/azurechute/internal/chutestandin"
)

const (
	// keptLines is how much of a node's log a failed proof prints.
	keptLines = 60
	// Ports below the range from which the system draws, so that nothing else takes them between choice and use.
	firstPort, lastPort = 20000, 32000
)

// process is one program under test, started and ended by its own id.
type process struct {
	name, zone string
	cmd        *exec.Cmd
	callers    string
	exited     chan struct{}

	mu    sync.Mutex
	lines []string
	ready chan struct{}
}

// settings are a node's own; the proof may change them before the start.
func (c *cluster) settings(name, zone string) chutesettings.Settings {
	peerPort := freePort(c.C)
	peers := c.link(anywhere, "peers-"+name, zone, "")
	peers.aim(fmt.Sprintf("127.0.0.1:%d", peerPort))

	return chutesettings.Settings{
		NodeName: name, Site: proofSite, Zone: zone, Region: "region",
		ListenHTTP: "127.0.0.1:0", ListenPeer: fmt.Sprintf("127.0.0.1:%d", peerPort),
		AdvertiseHTTP: "127.0.0.1:0", AdvertisePeer: peers.address(),
		TableURL: c.platformURL(zone, "table"), ObjectsURL: c.platformURL(zone, "objects"),
		VMsURL:               c.platformURL(zone, "vms-"+zone),
		TableWritesPerSecond: 200, TableReadsPerSecond: 1000,
		ShutdownLinger: span(time.Second), KeyAskTimeout: span(proofKeyAsk), LogLevel: "info", Peers: []string{},
	}
}

// startNode starts a node, enters it in the platform's list and waits until it is ready.
//
// A name that was used before is a VM that was replaced: a new process with a new incarnation.
func (c *cluster) startNode(name, zone string) *process {
	c.Helper()
	settings := c.settings(name, zone)
	path := filepath.Join(c.dir, name+".json")
	body, err := json.Marshal(settings)
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(path, body, 0o600), qt.IsNil)
	c.list(chutestandin.VM{
		Name: name, Address: "127.0.0.1:1", PeerAddress: settings.AdvertisePeer, Zone: zone, Kind: "Entry", State: "Live",
	})
	n := c.start(name, zone, c.program(path))
	c.waitFor(name+" is ready", func() bool { return n.get("/readyz", nil) })
	c.nodes = append(c.nodes, n)

	return n
}

// replace starts a new process in the place of one that is gone, as the platform replaces a VM.
func (c *cluster) replace(gone *process) *process {
	c.Helper()
	c.startNode(gone.name, gone.zone)
	last := len(c.nodes) - 1
	successor := c.nodes[last]
	c.nodes = c.nodes[:last]
	c.nodes[slices.Index(c.nodes, gone)] = successor

	return successor
}

// program is the command of a node: the product, or this test binary as a naive node.
func (c *cluster) program(settings string) *exec.Cmd {
	if c.side == sideNaive {
		cmd := exec.Command(os.Args[0], settings)
		cmd.Env = append(os.Environ(), envNaive+"="+c.configPath())

		return cmd
	}
	dir, err := programs()
	c.Assert(err, qt.IsNil)

	return exec.Command(filepath.Join(dir, "azurechute"), "serve", "--settings", settings)
}

// start runs a program that logs where it serves, and ends it with the test.
func (c *cluster) start(name, zone string, cmd *exec.Cmd) *process {
	c.Helper()
	p := &process{name: name, zone: zone, cmd: cmd, exited: make(chan struct{}), ready: make(chan struct{})}
	// No process outlives this one, even when it is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stderr, err := cmd.StderrPipe()
	c.Assert(err, qt.IsNil)
	c.Assert(cmd.Start(), qt.IsNil)
	go p.follow(bufio.NewScanner(stderr))
	c.Cleanup(func() {
		p.kill()
		if c.Failed() {
			c.Logf("the end of the log of %s:\n%s", name, p.tail())
		}
	})
	select {
	case <-p.ready:
	case <-p.exited:
		c.Fatalf("%s ended before it served:\n%s", name, p.tail())
	case <-time.After(longWait):
		c.Fatalf("%s does not serve:\n%s", name, p.tail())
	}

	return p
}

// follow reads the log to its end and then waits for the process.
func (p *process) follow(log *bufio.Scanner) {
	log.Buffer(nil, 1<<20)
	serving := false
	for log.Scan() {
		var line struct{ Callers, Address, Message string }
		_ = json.Unmarshal(log.Bytes(), &line)
		p.mu.Lock()
		p.lines = append(p.lines, log.Text())
		p.lines = p.lines[max(0, len(p.lines)-keptLines):]
		p.mu.Unlock()
		if line.Message == "serving" && !serving {
			serving = true
			p.callers = line.Callers + line.Address
			close(p.ready)
		}
	}
	_ = p.cmd.Wait()
	close(p.exited)
}

func (p *process) tail() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	text := ""
	for _, line := range p.lines {
		text += line + "\n"
	}

	return text
}

func (p *process) url() string {
	return "http://" + p.callers
}

// kill ends the process at once, frozen or not, and returns when it is gone.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// freeze stops the process where it stands; wake lets it go on as if nothing had been.
func (p *process) freeze(c *cluster) {
	c.Assert(p.cmd.Process.Signal(syscall.SIGSTOP), qt.IsNil)
}

func (p *process) wake(c *cluster) {
	c.Assert(p.cmd.Process.Signal(syscall.SIGCONT), qt.IsNil)
}

// terminate asks the process to end and returns at once.
func (p *process) terminate(c *cluster) {
	c.Assert(p.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
}

// exitCode waits for the end; -1 means that a signal ended the process.
func (p *process) exitCode(c *cluster) int {
	c.Helper()
	select {
	case <-p.exited:
	case <-time.After(longWait):
		c.Fatalf("%s does not end:\n%s", p.name, p.tail())
	}

	return p.cmd.ProcessState.ExitCode()
}

var portMu sync.Mutex

// nextPort spreads by a prime, so that runs begun together, whose process ids are neighbours, do not meet.
var nextPort = firstPort + os.Getpid()*7919%(lastPort-firstPort)

// freePort returns a port that nobody listens on.
func freePort(c *qt.C) int {
	portMu.Lock()
	defer portMu.Unlock()
	for range lastPort - firstPort {
		nextPort++
		if nextPort >= lastPort {
			nextPort = firstPort
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err == nil {
			_ = listener.Close()

			return nextPort
		}
	}
	c.Fatalf("no port is free")

	return 0
}

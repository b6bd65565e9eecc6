package chuteapi

import (
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/oops"
)

const (
	defaultMaxSends      = 3
	defaultAnswerTimeout = time.Minute
	defaultStallTimeout  = 10 * time.Second
	dialTimeout          = 2 * time.Second
	idleTimeout          = 30 * time.Second
	idlePerNode          = 1024
	// answerGrace is how long past its deadline an answer may still arrive before the connection counts as silent.
	answerGrace = 2 * time.Second
)

// Settings sets up a Client.
type Settings struct {
	// Nodes are base URLs such as "http://10.0.1.4:8080"; behind a balancer its own address is enough.
	Nodes []string
	// Tokens are bearer tokens by workspace.
	Tokens map[string]string
	// OperatorToken is the bearer token for State.
	OperatorToken string
	// MaxSends bounds how often one request is sent, the first included; 0 means 3, 1 turns sending again off.
	MaxSends int
	// AnswerTimeout bounds one send of a request that states no Deadline; 0 means a minute.
	AnswerTimeout time.Duration
	// StallTimeout bounds the time between two frames of a stream; 0 means 10 s.
	StallTimeout time.Duration
	// HTTP sends the requests; nil means a client with connections of its own.
	HTTP *http.Client
}

// Client calls the nodes of one site; it may be used by many goroutines.
type Client struct {
	settings Settings
	nodes    *nodeList
	http     *http.Client
	clock    clockwork.Clock
}

// New returns a client; it dials nothing yet, and fails only when a node's URL is none.
func New(settings Settings, clock clockwork.Clock) (*Client, error) {
	if len(settings.Nodes) == 0 {
		return nil, oops.In("api").With("step", "set up").Errorf("no nodes are given")
	}

	nodes := make([]string, len(settings.Nodes))
	for i, node := range settings.Nodes {
		parsed, err := url.Parse(node)
		if err != nil || parsed.Host == "" {
			return nil, oops.In("api").With("step", "set up", "peer", node).Errorf("%q is no URL such as http://10.0.1.4:8080", node)
		}

		nodes[i] = strings.TrimRight(node, "/")
	}

	settings.MaxSends = orDefault(settings.MaxSends, defaultMaxSends)
	settings.AnswerTimeout = orDefault(settings.AnswerTimeout, defaultAnswerTimeout)
	settings.StallTimeout = orDefault(settings.StallTimeout, defaultStallTimeout)

	c := &Client{settings: settings, nodes: newNodeList(nodes), http: settings.HTTP, clock: clock}
	if c.http == nil {
		c.http = &http.Client{Transport: newTransport()}
	}

	return c, nil
}

// Close closes the connections that are not in use.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idlePerNode,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}

	return value
}

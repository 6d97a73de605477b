package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/control"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/gateway"
	"github.com/cassialead/cassialead/node"
	"github.com/cassialead/cassialead/rollout"
	"github.com/cassialead/cassialead/store"
)

const (
	callTimeout  = 2 * time.Second
	pollInterval = 50 * time.Millisecond
)

// ErrUnreachable says that a node did not answer.
var ErrUnreachable = errors.New("node is unreachable")

// ErrNotInForce says that some nodes did not put a version in force in time.
var ErrNotInForce = errors.New("version is not in force everywhere")

// Client asks nodes over their link or local address.
type Client struct{ http *http.Client }

// New returns a client that uses a transport.
func New(t http.RoundTripper) *Client {
	return &Client{http: &http.Client{Transport: t, Timeout: callTimeout}}
}

func (c *Client) get(ctx context.Context, a fleet.Address, path string, v any) error {
	return c.call(ctx, http.MethodGet, a, path, v)
}

func (c *Client) call(ctx context.Context, method string, a fleet.Address, path string, v any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+string(a)+path, nil)
	if err != nil {
		return errors.Wrapf(err, "node %s", a)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, errors.Wrapf(err, "node %s", a))
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrUnreachable, "node %s: status %d", a, resp.StatusCode)
	}
	return errors.Wrapf(json.NewDecoder(resp.Body).Decode(v), "node %s", a)
}

// Status returns a node's place in the fleet, or ErrUnreachable.
func (c *Client) Status(ctx context.Context, a fleet.Address) (control.Status, error) {
	var s control.Status
	return s, c.get(ctx, a, "/v1/status", &s)
}

// Document returns the document that a node has in force, or ErrUnreachable.
func (c *Client) Document(ctx context.Context, a fleet.Address) (node.HeldDocument, error) {
	var d node.HeldDocument
	return d, c.get(ctx, a, "/v1/document", &d)
}

// Explain returns what a call would meet at a node, or ErrUnreachable.
func (c *Client) Explain(ctx context.Context, a fleet.Address, host, path string, tenant config.Tenant) (gateway.Explanation, error) {
	var e gateway.Explanation
	q := url.Values{"host": {host}, "path": {path}, "tenant": {string(tenant)}}
	return e, c.get(ctx, a, "/v1/explain?"+q.Encode(), &e)
}

// Drain asks a node to give its targets no new work, or returns ErrUnreachable.
func (c *Client) Drain(ctx context.Context, a fleet.Address) (control.Status, error) {
	var s control.Status
	return s, c.call(ctx, http.MethodPost, a, "/v1/drain", &s)
}

// Spread says how far a version has come.
type Spread struct {
	Version config.Version `json:"version"`
	InForce int            `json:"in_force"`
	Nodes   int            `json:"nodes"`
	// Known counts the live nodes that the leads know of; those beyond Nodes are unreachable.
	Known       int               `json:"known"`
	Laggards    []rollout.Laggard `json:"laggards,omitempty"`
	Unreachable []string          `json:"unreachable,omitempty"`
	Took        time.Duration     `json:"took"`
}

// Complete reports whether every known node has the version in force.
func (s Spread) Complete() bool {
	return len(s.Unreachable) == 0 && s.Known > 0 && s.InForce >= s.Known
}

// Spread asks every lead how far a version has come in its data centre.
func (c *Client) Spread(ctx context.Context, leads []fleet.Record, v config.Version) Spread {
	out := Spread{Version: v}
	statuses := make([]control.Status, len(leads))
	failed := make([]error, len(leads))
	var wg sync.WaitGroup
	for i, l := range leads {
		wg.Go(func() { statuses[i], failed[i] = c.Status(ctx, l.Link) })
	}
	wg.Wait()
	var sums []rollout.Summary
	for i, s := range statuses {
		if failed[i] != nil {
			out.Unreachable = append(out.Unreachable, "lead "+string(leads[i].Node)+" of "+string(leads[i].DataCentre))
			continue
		}
		sums = append(sums, s.Summary)
		out.Known += s.Members
	}
	total := rollout.Sum(sums...)
	out.InForce, out.Nodes = total.AtLeast(v), total.Nodes()
	for _, l := range total.Laggards {
		if l.Version < v {
			out.Laggards = append(out.Laggards, l)
		}
	}
	return out
}

// Await polls the leads until a version is in force everywhere, or returns ErrNotInForce with the last Spread.
func (c *Client) Await(ctx context.Context, port store.Port, v config.Version) (Spread, error) {
	started := time.Now()
	var last Spread
	leads, err := node.Leads(ctx, port)
	if err != nil {
		return last, err
	}
	for {
		last = c.Spread(ctx, leads, v)
		last.Took = time.Since(started)
		if last.Complete() {
			return last, nil
		}
		select {
		case <-ctx.Done():
			return last, errors.Wrapf(ErrNotInForce, "version %d", v)
		case <-time.After(pollInterval):
		}
	}
}

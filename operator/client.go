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

// ErrUnreachable means that a node did not respond with status 200.
var ErrUnreachable = errors.New("node is unreachable")

// ErrRolloutIncomplete means that some nodes did not put a version in force in time.
var ErrRolloutIncomplete = errors.New("version is not in force everywhere")

// Client sends requests to nodes at their link or local addresses.
type Client struct{ http *http.Client }

// New returns a client that sends requests through a transport.
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

// Status returns a node's status, or ErrUnreachable.
func (c *Client) Status(ctx context.Context, a fleet.Address) (control.Status, error) {
	var s control.Status
	return s, c.get(ctx, a, "/v1/status", &s)
}

// Document returns the document in force on a node, or ErrUnreachable.
func (c *Client) Document(ctx context.Context, a fleet.Address) (node.ActiveDocument, error) {
	var d node.ActiveDocument
	return d, c.get(ctx, a, "/v1/document", &d)
}

// Explain returns the route, service and exceptions that a node would apply to a call, or ErrUnreachable.
func (c *Client) Explain(ctx context.Context, a fleet.Address, host, path string, tenant config.Tenant) (gateway.Explanation, error) {
	var e gateway.Explanation
	q := url.Values{"host": {host}, "path": {path}, "tenant": {string(tenant)}}
	return e, c.get(ctx, a, "/v1/explain?"+q.Encode(), &e)
}

// Drain takes the targets beside a node out of service: they receive no new calls. It returns the node's status, or
// ErrUnreachable.
func (c *Client) Drain(ctx context.Context, a fleet.Address) (control.Status, error) {
	var s control.Status
	return s, c.call(ctx, http.MethodPost, a, "/v1/drain", &s)
}

// RolloutStatus is the progress of a version's rollout.
type RolloutStatus struct {
	Version       config.Version `json:"version"`
	InForce       int            `json:"in_force"`
	ReportedNodes int            `json:"nodes"`
	// LiveNodes counts the live nodes in the leaders' records; those missing from ReportedNodes are unreachable.
	LiveNodes   int               `json:"known"`
	Laggards    []rollout.Laggard `json:"laggards,omitempty"`
	Unreachable []string          `json:"unreachable,omitempty"`
	Elapsed     time.Duration     `json:"took"`
}

// Complete reports whether every live node has the version in force.
func (s RolloutStatus) Complete() bool {
	return len(s.Unreachable) == 0 && s.LiveNodes > 0 && s.InForce >= s.LiveNodes
}

// RolloutStatus requests the status of every leader and returns the progress of a version's rollout in their data centres.
func (c *Client) RolloutStatus(ctx context.Context, leaders []fleet.Record, v config.Version) RolloutStatus {
	out := RolloutStatus{Version: v}
	statuses := make([]control.Status, len(leaders))
	errs := make([]error, len(leaders))
	var wg sync.WaitGroup
	for i, l := range leaders {
		wg.Go(func() { statuses[i], errs[i] = c.Status(ctx, l.LinkAddress) })
	}
	wg.Wait()
	var summaries []rollout.Summary
	for i, s := range statuses {
		if errs[i] != nil {
			out.Unreachable = append(out.Unreachable, "lead "+string(leaders[i].Node)+" of "+string(leaders[i].DataCentre))
			continue
		}
		summaries = append(summaries, s.Summary)
		out.LiveNodes += s.DataCentreNodes
	}
	total := rollout.Sum(summaries...)
	out.InForce, out.ReportedNodes = total.AtLeast(v), total.Nodes()
	for _, l := range total.Laggards {
		if l.Version < v {
			out.Laggards = append(out.Laggards, l)
		}
	}
	return out
}

// AwaitRollout polls the leaders until a version is in force on every live node; it returns ErrRolloutIncomplete with the last status
// if ctx ends first.
func (c *Client) AwaitRollout(ctx context.Context, kv store.KV, v config.Version) (RolloutStatus, error) {
	started := time.Now()
	var status RolloutStatus
	leaders, err := node.ListLeaders(ctx, kv)
	if err != nil {
		return status, err
	}
	for {
		status = c.RolloutStatus(ctx, leaders, v)
		status.Elapsed = time.Since(started)
		if status.Complete() {
			return status, nil
		}
		select {
		case <-ctx.Done():
			return status, errors.Wrapf(ErrRolloutIncomplete, "version %d", v)
		case <-time.After(pollInterval):
		}
	}
}

package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
)

const (
	callTimeout        = 2 * time.Second
	watchTimeoutMargin = 5 * time.Second
	maxValueBytes      = 2 << 20
)

// Client is a client of an HTTP key-value API with blocking queries, compare-and-swap and sessions.
type Client struct {
	base  string
	http  *http.Client
	calls map[string]*metrics.Counter
}

var _ KV = (*Client)(nil)

// New returns a client of the store at base, a URL such as http://192.0.2.1:8500; it counts calls by kind in the metrics set.
func New(base string, transport http.RoundTripper, set *metrics.Set) *Client {
	c := &Client{base: strings.TrimSuffix(base, "/"), http: &http.Client{Transport: transport}}
	c.calls = map[string]*metrics.Counter{}
	for _, kind := range []string{"get", "list", "watch", "swap", "delete", "grant", "renew", "acquire", "revoke"} {
		c.calls[kind] = set.GetOrCreateCounter(`cassialead_store_calls_total{kind="` + kind + `"}`)
	}
	return c
}

type entryJSON struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	Session     string
}

func (e entryJSON) entry() Entry {
	return Entry{Key: Key(e.Key), Value: e.Value, Index: Index(e.ModifyIndex), Lease: LeaseID(e.Session)}
}

// Get returns the entry, ErrNotFound or ErrUnavailable.
func (c *Client) Get(ctx context.Context, key Key) (Entry, error) {
	entries, err := c.read(ctx, "get", key, nil, callTimeout)
	if err != nil {
		return Entry{}, err
	}
	return entries[0], nil
}

// List returns the entries whose keys start with prefix, or ErrUnavailable.
func (c *Client) List(ctx context.Context, prefix Key) ([]Entry, error) {
	entries, err := c.read(ctx, "list", prefix, url.Values{"recurse": {"true"}}, callTimeout)
	if errors.Is(err, ErrNotFound) {
		return nil, nil
	}
	return entries, err
}

// Watch blocks until the entry's index differs from after or wait has elapsed, then returns the entry as Get does.
func (c *Client) Watch(ctx context.Context, key Key, after Index, wait time.Duration) (Entry, error) {
	query := url.Values{
		"index": {strconv.FormatUint(uint64(after), 10)},
		"wait":  {strconv.FormatInt(wait.Milliseconds(), 10) + "ms"},
	}
	entries, err := c.read(ctx, "watch", key, query, wait+watchTimeoutMargin)
	if err != nil {
		return Entry{}, err
	}
	return entries[0], nil
}

func (c *Client) read(ctx context.Context, kind string, key Key, query url.Values, timeout time.Duration) ([]Entry, error) {
	status, body, err := c.call(ctx, kind, http.MethodGet, "/v1/kv/"+string(key), query, nil, timeout)
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	case status == http.StatusNotFound:
		return nil, errors.Wrapf(ErrNotFound, "key %q", key)
	case status != http.StatusOK:
		return nil, errors.Wrapf(ErrUnavailable, "%s %q: status %d", kind, key, status)
	}
	var wire []entryJSON
	if err := json.Unmarshal(body, &wire); err != nil || len(wire) == 0 {
		return nil, errors.Wrapf(ErrUnavailable, "%s %q: invalid response body", kind, key)
	}
	entries := make([]Entry, len(wire))
	for i, w := range wire {
		entries[i] = w.entry()
	}
	return entries, nil
}

// CompareAndSwap writes the value if the entry's index equals expect, or returns ErrConflict; zero means that the key must not exist.
func (c *Client) CompareAndSwap(ctx context.Context, key Key, value []byte, expect Index) error {
	return c.write(ctx, "swap", http.MethodPut, key, url.Values{"cas": {strconv.FormatUint(uint64(expect), 10)}}, value)
}

// Delete removes the key; deleting a key that does not exist is not an error.
func (c *Client) Delete(ctx context.Context, key Key) error {
	return c.write(ctx, "delete", http.MethodDelete, key, nil, nil)
}

// Acquire locks the key with the lease and writes the value, or returns ErrConflict if another lease holds the key.
func (c *Client) Acquire(ctx context.Context, key Key, value []byte, lease LeaseID) error {
	return c.write(ctx, "acquire", http.MethodPut, key, url.Values{"acquire": {string(lease)}}, value)
}

func (c *Client) write(ctx context.Context, kind, method string, key Key, query url.Values, value []byte) error {
	status, body, err := c.call(ctx, kind, method, "/v1/kv/"+string(key), query, value, callTimeout)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	if err := writeError(status); err != nil {
		return errors.Wrapf(err, "%s %q: status %d", kind, key, status)
	}
	switch strings.TrimSpace(string(body)) {
	case "true":
		return nil
	case "false":
		return errors.Wrapf(ErrConflict, "%s %q", kind, key)
	}
	return errors.Wrapf(ErrUnknownOutcome, "%s %q: invalid response body", kind, key)
}

// writeError maps the status of a write to an error. Among the store's failures, only status 429 (rate limit) guarantees that
// the write was not executed.
func writeError(status int) error {
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusTooManyRequests:
		return ErrUnavailable
	}
	return ErrUnknownOutcome
}

// Grant creates a lease that expires ttl after its last renewal.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	body := []byte(`{"TTL":"` + ttl.String() + `","Behavior":"delete"}`)
	status, response, err := c.call(ctx, "grant", http.MethodPut, "/v1/session/create", nil, body, callTimeout)
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	if err := writeError(status); err != nil {
		return "", errors.Wrapf(err, "grant: status %d", status)
	}
	var created struct{ ID string }
	if err := json.Unmarshal(response, &created); err != nil || created.ID == "" {
		return "", errors.Wrap(ErrUnknownOutcome, "grant: invalid response body")
	}
	return LeaseID(created.ID), nil
}

// Renew extends a lease, or returns ErrNotFound if it has expired.
func (c *Client) Renew(ctx context.Context, lease LeaseID) error {
	return c.updateLease(ctx, "renew", "/v1/session/renew/", lease)
}

// Revoke ends a lease and deletes the keys attached to it.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	return c.updateLease(ctx, "revoke", "/v1/session/destroy/", lease)
}

func (c *Client) updateLease(ctx context.Context, kind, path string, lease LeaseID) error {
	status, _, err := c.call(ctx, kind, http.MethodPut, path+string(lease), nil, nil, callTimeout)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return errors.Wrapf(writeError(status), "%s lease", kind)
}

func (c *Client) call(ctx context.Context, kind, method, path string, query url.Values, body []byte,
	timeout time.Duration) (int, []byte, error) {
	c.calls[kind].Inc()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	requestURL := c.base + path
	if len(query) > 0 {
		requestURL += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, requestURL, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrapf(err, "%s", kind)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, errors.Wrapf(err, "%s", kind)
	}
	defer func() { _ = resp.Body.Close() }()
	response, err := io.ReadAll(io.LimitReader(resp.Body, maxValueBytes*2))
	if err != nil {
		return 0, nil, errors.Wrapf(err, "%s", kind)
	}
	return resp.StatusCode, response, nil
}

package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/hop"
	"github.com/cassialead/cassialead/platform"
)

const (
	callGap      = 30 * time.Millisecond // mean time between two calls of a caller
	callPatience = 2 * time.Second       // of a caller
	callerLeaves = 0.03                  // share of the calls whose caller leaves before the answer
	soakHost     = "soak.example"
	orderShare   = 0.4 // of the calls that may run only once
)

var callNumber atomic.Uint64

// services are what the fleet's targets offer.
var services = []config.ServiceName{"stock", "orders"}

// prefixOf returns the prefix of the calls of a service that may run only once, or more often.
func prefixOf(s config.ServiceName, once bool) string { return fmt.Sprintf("/%s-once-%v/", s, once) }

// newCallID returns an id that tells the service of the caller's VM and how often the call may run.
func newCallID(origin config.ServiceName, once bool) hop.CallID {
	kind := "safe"
	if once {
		kind = "once"
	}
	return hop.CallID(fmt.Sprintf("%s-%s-%d", origin, kind, callNumber.Add(1)))
}

func originOf(id hop.CallID) config.ServiceName {
	origin, _, _ := strings.Cut(string(id), "-")
	return config.ServiceName(origin)
}

// mayRunOnce reports whether a call may run only once.
func mayRunOnce(id hop.CallID) bool { return strings.Contains(string(id), "-once-") }

// caller sends calls to the node of its VM over connections that it keeps until the node's process is gone.
type caller struct {
	vm     *VM
	book   *Book
	client *http.Client
}

func newCaller(vm *VM, b *Book) *caller {
	return &caller{vm: vm, book: b, client: &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}}
}

// run sends calls until ctx ends.
func (c *caller) run(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for ctx.Err() == nil {
		calls.Go(func() { c.call(newCallID(c.vm.service, rand.Float64() < orderShare)) })
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(callGap)))
	}
}

// call makes one call and judges its answer.
func (c *caller) call(id hop.CallID) {
	ctx, cancel := context.WithTimeout(context.Background(), callPatience)
	defer cancel()
	if rand.Float64() < callerLeaves {
		time.AfterFunc(rand.N(longestWork), cancel)
	}
	body, method := "order "+string(id), http.MethodPost
	if !mayRunOnce(id) {
		body, method = "", http.MethodGet
	}
	path := prefixOf(services[rand.IntN(len(services))], mayRunOnce(id))
	status, got, signed, err := c.send(ctx, id, method, path+string(id), body)
	switch {
	case err == nil && status == http.StatusOK:
		if want := answerOf(id, []byte(body)); got != want || !signed {
			c.book.Break(OwnAnswer, "call %s: %d bytes for %d, signed %v", id, len(got), len(want), signed)
		}
		c.book.End("200", true)
	case err != nil:
		if c.vm.stoppedCalmly() && ctx.Err() == nil && c.book.Count(id) > 0 {
			c.book.Break(PlannedStop, "call %s ran and its connection to %s ended: %v", id, c.vm.name, err)
		}
		c.book.End("no answer", false)
	default:
		if notRun(status) && mayRunOnce(id) {
			c.book.Refuse(id, status)
		}
		c.book.End(strconv.Itoa(status), false)
	}
}

// notRun reports whether a status promises that a call has not run.
func notRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (c *caller) send(ctx context.Context, id hop.CallID, method, path, body string) (status int, got string, signed bool, err error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+string(c.vm.cfg.CallAddress)+path, strings.NewReader(body))
	if err != nil {
		return 0, "", false, err
	}
	r.Host = soakHost
	r.Header.Set(platform.RequestIDHeader, string(id))
	r.Header.Set(platform.TimeoutHeader, strconv.FormatInt(callPatience.Milliseconds(), 10))
	r.Header.Set(platform.CallerServiceHeader, "forged")
	resp, err := c.client.Do(r)
	if err != nil {
		return 0, "", false, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", false, errors.Join(err, errCut)
	}
	return resp.StatusCode, string(b), resp.Header.Get(platform.SignatureHeader) != "", nil
}

var errCut = errors.New("the answer broke off")

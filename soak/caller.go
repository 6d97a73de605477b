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
	"github.com/cassialead/cassialead/lifecycle"
	"github.com/cassialead/cassialead/platform"
)

const (
	meanCallInterval = 30 * time.Millisecond // mean time between two calls of a caller
	callTimeout      = 2 * time.Second       // of each call
	cancelShare      = 0.03                  // share of the calls that the caller cancels before the response
	soakHost         = "soak.example"
	vmHeader         = "Soak-Vm" // name of the caller's VM
	maxNodeError     = 4 << 10   // bytes of an error of a node's own
	atMostOnceShare  = 0.4       // share of the calls that may be executed only once
)

var lastCallNumber atomic.Uint64

// services are the services of the fleet's targets.
var services = []config.ServiceName{"stock", "orders"}

// pathPrefix returns the path prefix of a service's at-most-once or idempotent calls.
func pathPrefix(s config.ServiceName, atMostOnce bool) string {
	return fmt.Sprintf("/%s-once-%v/", s, atMostOnce)
}

// newCallID returns a unique id that contains the service of the caller's VM and the call's semantics.
func newCallID(origin config.ServiceName, atMostOnce bool) hop.CallID {
	kind := "safe"
	if atMostOnce {
		kind = "once"
	}
	return hop.CallID(fmt.Sprintf("%s-%s-%d", origin, kind, lastCallNumber.Add(1)))
}

func callerServiceOf(id hop.CallID) config.ServiceName {
	origin, _, _ := strings.Cut(string(id), "-")
	return config.ServiceName(origin)
}

// isAtMostOnce reports whether a call may be executed only once.
func isAtMostOnce(id hop.CallID) bool { return strings.Contains(string(id), "-once-") }

// caller sends calls to the node of its VM over connections that stay open until the node's process exits.
type caller struct {
	vm      *VM
	checker *Checker
	client  *http.Client
}

func newCaller(vm *VM, ch *Checker) *caller {
	return &caller{vm: vm, checker: ch, client: &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}}
}

// run sends calls until ctx ends.
func (c *caller) run(ctx context.Context) {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for ctx.Err() == nil {
		inFlight.Go(func() { c.call(newCallID(c.vm.service, rand.Float64() < atMostOnceShare)) })
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(meanCallInterval)))
	}
}

// call sends one call and checks the response.
func (c *caller) call(id hop.CallID) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if rand.Float64() < cancelShare {
		time.AfterFunc(rand.N(maxServiceTime), cancel)
	}
	body, method := "order "+string(id), http.MethodPost
	if !isAtMostOnce(id) {
		body, method = "", http.MethodGet
	}
	path := pathPrefix(services[rand.IntN(len(services))], isAtMostOnce(id))
	status, respBody, signed, err := c.send(ctx, id, method, path+string(id), body)
	switch {
	case err == nil && status == http.StatusOK:
		if want := expectedResponse(id, []byte(body)); respBody != want || !signed {
			c.checker.RecordViolation(ResponseIntegrity, "call %s: response of %d bytes, expected %d, signed %v", id, len(respBody), len(want), signed)
		}
		c.checker.RecordOutcome("200", true)
	case err != nil:
		if c.vm.stoppingGracefully() && ctx.Err() == nil && c.checker.Executions(id) > 0 {
			c.checker.RecordViolation(GracefulStop, "call %s was executed and its connection to %s failed: %v", id, c.vm.name, err)
		}
		c.checker.RecordOutcome("no response", false)
	default:
		if n := len(respBody); n > maxNodeError && n != longFailure {
			c.checker.RecordViolation(ResponseIntegrity, "call %s: %d with %d bytes looks complete, the target sent %d", id, status, n, longFailure)
		}
		if signed && meansNotExecuted(status) {
			c.checker.RecordViolation(ResponseIntegrity, "call %s: signed %d", id, status)
		}
		if meansNotExecuted(status) && isAtMostOnce(id) {
			c.checker.RecordRefusal(id, status)
		}
		c.checker.RecordOutcome(strconv.Itoa(status), false)
	}
}

// meansNotExecuted reports whether a status states that a call was not executed.
func meansNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (c *caller) send(ctx context.Context, id hop.CallID, method, path, body string) (status int, respBody string, signed bool, err error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+string(c.vm.cfg.CallAddress)+path, strings.NewReader(body))
	if err != nil {
		return 0, "", false, err
	}
	r.Host = soakHost
	r.Header.Set(platform.RequestIDHeader, string(id))
	r.Header.Set(platform.TimeoutHeader, strconv.FormatInt(callTimeout.Milliseconds(), 10))
	r.Header.Set(platform.CallerServiceHeader, "forged")
	r.Header.Set(vmHeader, c.vm.name)
	resp, err := c.client.Do(r)
	if err != nil {
		return 0, "", false, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", false, errors.Join(err, errTruncated)
	}
	if resp.Header.Get(platform.LeavingHeader) != "" {
		c.checker.RecordLeaving(lifecycle.ID(resp.Header.Get(platform.InstanceIDHeader)), c.vm.name)
	}
	return resp.StatusCode, string(b), resp.Header.Get(platform.SignatureHeader) != "", nil
}

var errTruncated = errors.New("response body truncated")

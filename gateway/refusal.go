package gateway

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Cause is the machine-readable reason for a refusal or failure.
type Cause string

// Causes returned to callers, in addition to those of package admission.
const (
	CauseNoRoute            Cause = "no-route"
	CauseNoTarget           Cause = "no-target"
	CauseNotReady           Cause = "not-ready"
	CauseDraining           Cause = "draining"
	CauseTooDeep            Cause = "too-deep"
	CauseBadRequest         Cause = "bad-request"
	CauseTimeout            Cause = "timeout"
	CauseTargetBroken       Cause = "target-broken"
	CauseOutcomeUnknown     Cause = "outcome-unknown"
	CauseAnswerLost         Cause = "answer-lost"
	CauseTooLate            Cause = "too-late"
	CauseFenced             Cause = "fenced"
	CauseMismatchedResponse Cause = "crossed-answer"
	CauseKeyInProgress      Cause = "key-in-progress"
	CauseKeyUnverified      Cause = "key-unverified"
	CauseMemoryFull         Cause = "memory-full"
	CauseBodyLate           Cause = "body-late"
)

// Executed states whether the target executed a call.
type Executed string

// The values of Executed.
const (
	ExecutedNo      Executed = "no"
	ExecutedYes     Executed = "yes"
	ExecutedUnknown Executed = "unknown"
)

// Refusal is the response of a node to a call that got no usable response from a target: the call was refused, or it failed.
type Refusal struct {
	Status     int           `json:"-"`
	Cause      Cause         `json:"cause"`
	Executed   Executed      `json:"ran"`
	Message    string        `json:"message"`
	RetryAfter time.Duration `json:"-"`
}

func notExecuted(status int, cause Cause, message string) Refusal {
	return Refusal{Status: status, Cause: cause, Executed: ExecutedNo, Message: message}
}

func (r Refusal) header() http.Header {
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	h.Set(HeaderCause, string(r.Cause))
	h.Set(HeaderExecuted, string(r.Executed))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((r.RetryAfter+time.Second-1)/time.Second)))
	}
	return h
}

func (r Refusal) body() string {
	data, _ := json.Marshal(r)
	return string(data) + "\n"
}

// response returns the refusal as an HTTP response.
func (r Refusal) response() *http.Response {
	body := r.body()
	return &http.Response{StatusCode: r.Status, Header: r.header(), ContentLength: int64(len(body)),
		Body: io.NopCloser(strings.NewReader(body))}
}

// isRefusal reports whether a response is a refusal by a node rather than a target's response.
func isRefusal(resp *http.Response) bool { return resp.Header.Get(HeaderCause) != "" }

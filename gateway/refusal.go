package gateway

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Cause says, for machines, why a call was refused or failed.
type Cause string

// The causes that a caller may see; those of package admission come besides.
const (
	CauseNoRoute    Cause = "no-route"
	CauseNoTarget   Cause = "no-target"
	CauseNotReady   Cause = "not-ready"
	CauseDraining   Cause = "draining"
	CauseTooDeep    Cause = "too-deep"
	CauseBadRequest Cause = "bad-request"
	CauseTimeout    Cause = "timeout"
	CauseBroken     Cause = "target-broken"
	CauseUnknown    Cause = "outcome-unknown"
	CauseAnswerLost Cause = "answer-lost"
	CauseLate       Cause = "too-late"
	CauseFenced     Cause = "fenced"
	CauseCrossed    Cause = "crossed-answer"
	CauseInProgress Cause = "key-in-progress"
	CauseUnverified Cause = "key-unverified"
)

// Ran says whether the work behind a call was done.
type Ran string

// What may be said about a call's work.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Refusal is a call's end without a target's answer.
type Refusal struct {
	Status     int           `json:"-"`
	Cause      Cause         `json:"cause"`
	Ran        Ran           `json:"ran"`
	Message    string        `json:"message"`
	RetryAfter time.Duration `json:"-"`
}

func notRun(status int, cause Cause, message string) Refusal {
	return Refusal{Status: status, Cause: cause, Ran: RanNo, Message: message}
}

func (r Refusal) header() http.Header {
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	h.Set(HeaderCause, string(r.Cause))
	h.Set(HeaderRan, string(r.Ran))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((r.RetryAfter+time.Second-1)/time.Second)))
	}
	return h
}

func (r Refusal) body() string {
	data, _ := json.Marshal(r)
	return string(data) + "\n"
}

// response returns the refusal in the form of a target's answer.
func (r Refusal) response() *http.Response {
	body := r.body()
	return &http.Response{StatusCode: r.Status, Header: r.header(), ContentLength: int64(len(body)),
		Body: io.NopCloser(strings.NewReader(body))}
}

// refused reports whether a response is a node's refusal and not a target's answer.
func refused(resp *http.Response) bool { return resp.Header.Get(HeaderCause) != "" }

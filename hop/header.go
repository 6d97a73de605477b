package hop

import (
	"encoding/base64"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/ugorji/go/codec"
)

// Names of the headers exchanged between nodes.
const (
	callHeader    = "Cassialead-Call"
	expectHeader  = "Expect" // 100-continue, for bodies that need admission
	outcomeHeader = "Cassialead-Outcome"
)

// ErrMalformed reports a header between nodes that can't be decoded.
var ErrMalformed = errors.New("malformed header between nodes")

var cborHandle = func() *codec.CborHandle {
	h := &codec.CborHandle{}
	h.StructToArray = true
	return h
}()

// wireCall is the encoded header of a call; deadlines are sent as time left, since the clocks of VMs differ.
type wireCall struct {
	ID, Route, Service, Instance, Origin string
	Rank                                 int
	Idempotent, Retry                    bool
	QueuePolicy                          uint8
	SoftDeadlineUs, DeadlineUs           int64
	Tenant                               string // absent in calls of earlier versions
}

// wireOutcome is the encoded header of an outcome.
type wireOutcome struct {
	ID                string
	Kind              uint8
	Cause             string
	RetryAfterUs      int64
	Running           int
	Waiting           int
	Limit             int
	ServiceTimeUs     int64
	ExpectedWaitUs    int64
	FailurePercent    int
	Cold              bool
	Overloaded        bool
	UplinkBacklogUs   int64
	DownlinkBacklogUs int64
	TargetStatus      int
	RateLimit         float64
	RateWaitUs        int64
	Leaving           bool
}

const (
	kindAnswered uint8 = iota
	kindRefused
	kindFailed
)

func encode(v any) string {
	var b []byte
	// Encoding these flat structs into memory can't fail.
	codec.NewEncoderBytes(&b, cborHandle).MustEncode(v)
	return base64.RawURLEncoding.EncodeToString(b)
}

func decode(s string, v any) error {
	b, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	if err := codec.NewDecoderBytes(b, cborHandle).Decode(v); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

// WriteCall encodes a call into the header for the target's node.
func WriteCall(h http.Header, c *Call, now time.Time) {
	h[callHeader] = []string{encode(wireCall{ID: string(c.ID), Route: string(c.Route), Service: string(c.Service),
		Instance: string(c.Instance), Origin: string(c.Origin), Rank: int(c.Rank), Idempotent: c.Idempotent, Retry: c.Retry,
		QueuePolicy: uint8(c.QueuePolicy), SoftDeadlineUs: c.SoftDeadline.Sub(now).Microseconds(), DeadlineUs: c.Deadline.Sub(now).Microseconds(), Tenant: string(c.Tenant)})}
}

// maxTime bounds the times that are read: far longer than any call, and short of the range of a duration.
const maxTime = 24 * time.Hour

// duration converts microseconds; a time beyond maxTime counts as maxTime, since it would overflow.
func duration(us int64) time.Duration {
	most := maxTime.Microseconds()
	return time.Duration(min(max(us, -most), most)) * time.Microsecond
}

// ReadCall decodes a call from a request of another node and removes the header that WriteCall has added; method, URI, host
// and the other headers are those of the request itself.
func ReadCall(r *http.Request, now time.Time) (*Call, error) {
	var w wireCall
	if err := decode(r.Header.Get(callHeader), &w); err != nil {
		return nil, err
	}
	delete(r.Header, callHeader)
	c := &Call{Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header, ExpectContinue: r.Header.Get(expectHeader) != ""}
	delete(r.Header, expectHeader)
	c.ID, c.Rank, c.Idempotent, c.Retry, c.QueuePolicy = CallID(w.ID), Rank(w.Rank), w.Idempotent, w.Retry, QueuePolicy(w.QueuePolicy)
	c.setNames(w)
	c.SoftDeadline = now.Add(duration(w.SoftDeadlineUs))
	c.Deadline = now.Add(duration(w.DeadlineUs))
	return c, nil
}

// WriteOutcome encodes an outcome into a response header and returns the HTTP status to send with it.
func WriteOutcome(h http.Header, id CallID, o Outcome) int {
	w := wireOutcome{ID: string(id)}
	var l Load
	status := http.StatusServiceUnavailable
	switch o := o.(type) {
	case *Answered:
		w.Kind, l, status = kindAnswered, o.Load, o.Status
	case Refused:
		w.Kind, w.Cause, w.RetryAfterUs, l = kindRefused, string(o.Cause), o.RetryAfter.Microseconds(), o.Load
	case Failed:
		w.Kind, w.Cause, l, status = kindFailed, string(o.Cause), o.Load, http.StatusBadGateway
	}
	w.Running, w.Waiting, w.Limit, w.ServiceTimeUs, w.ExpectedWaitUs = l.Running, l.Waiting, l.Limit, l.ServiceTime.Microseconds(), l.ExpectedWait.Microseconds()
	w.UplinkBacklogUs, w.DownlinkBacklogUs = l.UplinkBacklog.Microseconds(), l.DownlinkBacklog.Microseconds()
	w.FailurePercent, w.Cold, w.Overloaded, w.TargetStatus = l.FailurePercent, l.Cold, l.Overloaded, status
	w.RateLimit, w.RateWaitUs, w.Leaving = float64(l.RateLimit), l.RateWait.Microseconds(), l.Leaving
	h[outcomeHeader] = []string{encode(w)}
	return status
}

// ReadOutcome decodes an outcome and the id of its call from a response and removes the header that WriteOutcome has added;
// the caller has to set Body, Remainder and Release of an answer.
func ReadOutcome(resp *http.Response) (Outcome, CallID, error) {
	var w wireOutcome
	if err := decode(resp.Header.Get(outcomeHeader), &w); err != nil {
		return nil, "", err
	}
	delete(resp.Header, outcomeHeader)
	if w.TargetStatus != resp.StatusCode {
		return nil, "", errors.Wrapf(ErrMalformed, "response status %d differs from status %d in the outcome header", resp.StatusCode, w.TargetStatus)
	}
	l := Load{Running: w.Running, Waiting: w.Waiting, Limit: w.Limit, ServiceTime: duration(w.ServiceTimeUs),
		ExpectedWait: duration(w.ExpectedWaitUs), FailurePercent: w.FailurePercent, Cold: w.Cold, Overloaded: w.Overloaded,
		UplinkBacklog: duration(w.UplinkBacklogUs), DownlinkBacklog: duration(w.DownlinkBacklogUs),
		RateLimit: CallRate(w.RateLimit), RateWait: duration(w.RateWaitUs), Leaving: w.Leaving}
	switch w.Kind {
	case kindAnswered:
		if PromisesNotRun(resp.StatusCode) {
			return Failed{Cause: Unstated, Load: l}, CallID(w.ID), nil // from a node of an earlier version
		}
		return &Answered{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Load: l}, CallID(w.ID), nil
	case kindRefused:
		return Refused{Cause: Cause(w.Cause), RetryAfter: duration(w.RetryAfterUs), Load: l}, CallID(w.ID), nil
	case kindFailed:
		return Failed{Cause: Cause(w.Cause), Load: l}, CallID(w.ID), nil
	}
	return nil, "", errors.Wrapf(ErrMalformed, "unknown outcome kind %d", w.Kind)
}

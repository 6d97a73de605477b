package hop

import (
	"encoding/base64"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/ugorji/go/codec"
)

// The headers between nodes.
const (
	callHeader    = "Cassialead-Call"
	expectHeader  = "Expect" // of an announced body
	outcomeHeader = "Cassialead-Outcome"
)

// ErrMalformed says that a message between nodes can't be read.
var ErrMalformed = errors.New("malformed message between nodes")

var handle = func() *codec.CborHandle {
	h := &codec.CborHandle{}
	h.StructToArray = true
	return h
}()

// callWire is a call's header; times travel as what is left of them, since clocks of VMs differ.
type callWire struct {
	ID, Route, Service, Instance, Origin string
	Rank                                 int
	Repeatable, Repeat                   bool
	Patience                             uint8
	AimUs, LeftUs                        int64
}

// outcomeWire is an outcome's header.
type outcomeWire struct {
	ID           string
	Kind         uint8
	Cause        string
	RetryUs      int64
	Running      int
	Waiting      int
	Limit        int
	HoldUs       int64
	WaitUs       int64
	Failing      int
	Cold         bool
	Pressed      bool
	LinkUs       int64
	InboundUs    int64
	TargetStatus int
}

const (
	kindAnswered uint8 = iota
	kindRefused
	kindFailed
)

func encode(v any) string {
	var b []byte
	// Encoding these flat structs into memory can't fail.
	codec.NewEncoderBytes(&b, handle).MustEncode(v)
	return base64.RawURLEncoding.EncodeToString(b)
}

func decode(s string, v any) error {
	b, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	if err := codec.NewDecoderBytes(b, handle).Decode(v); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

// WriteCall adds the header that describes a call to another node.
func WriteCall(h http.Header, c *Call, now time.Time) {
	h[callHeader] = []string{encode(callWire{ID: string(c.ID), Route: string(c.Route), Service: string(c.Service),
		Instance: string(c.Instance), Origin: string(c.Origin), Rank: int(c.Rank), Repeatable: c.Repeatable, Repeat: c.Repeat,
		Patience: uint8(c.Patience), AimUs: c.Aim.Sub(now).Microseconds(), LeftUs: c.Deadline.Sub(now).Microseconds()})}
}

// ReadCall reads and removes the header that describes a call; the caller's own part comes from the request itself.
func ReadCall(r *http.Request, now time.Time) (*Call, error) {
	var w callWire
	if err := decode(r.Header.Get(callHeader), &w); err != nil {
		return nil, err
	}
	delete(r.Header, callHeader)
	c := &Call{Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header, Announced: r.Header.Get(expectHeader) != ""}
	delete(r.Header, expectHeader)
	c.ID, c.Rank, c.Repeatable, c.Repeat, c.Patience = CallID(w.ID), Rank(w.Rank), w.Repeatable, w.Repeat, Patience(w.Patience)
	c.set(w)
	c.Aim = now.Add(time.Duration(w.AimUs) * time.Microsecond)
	c.Deadline = now.Add(time.Duration(w.LeftUs) * time.Microsecond)
	return c, nil
}

// WriteOutcome adds the header that describes an outcome and returns the status to send.
func WriteOutcome(h http.Header, id CallID, o Outcome) int {
	w := outcomeWire{ID: string(id)}
	var l Load
	status := http.StatusServiceUnavailable
	switch o := o.(type) {
	case *Answered:
		w.Kind, l, status = kindAnswered, o.Load, o.Status
	case Refused:
		w.Kind, w.Cause, w.RetryUs, l = kindRefused, string(o.Cause), o.RetryAfter.Microseconds(), o.Load
	case Failed:
		w.Kind, w.Cause, l, status = kindFailed, string(o.Cause), o.Load, http.StatusBadGateway
	}
	w.Running, w.Waiting, w.Limit, w.HoldUs, w.WaitUs = l.Running, l.Waiting, l.Limit, l.Hold.Microseconds(), l.Wait.Microseconds()
	w.LinkUs, w.InboundUs = l.Link.Microseconds(), l.Inbound.Microseconds()
	w.Failing, w.Cold, w.Pressed, w.TargetStatus = l.Failing, l.Cold, l.Pressed, status
	h[outcomeHeader] = []string{encode(w)}
	return status
}

// ReadOutcome reads and removes the header that describes an outcome, and says whose call it belongs to; Body, Rest and
// Release of an answer are left to the caller.
func ReadOutcome(resp *http.Response) (Outcome, CallID, error) {
	var w outcomeWire
	if err := decode(resp.Header.Get(outcomeHeader), &w); err != nil {
		return nil, "", err
	}
	delete(resp.Header, outcomeHeader)
	if w.TargetStatus != resp.StatusCode {
		return nil, "", errors.Wrapf(ErrMalformed, "status %d for an outcome of status %d", resp.StatusCode, w.TargetStatus)
	}
	l := Load{Running: w.Running, Waiting: w.Waiting, Limit: w.Limit, Hold: time.Duration(w.HoldUs) * time.Microsecond,
		Wait: time.Duration(w.WaitUs) * time.Microsecond, Failing: w.Failing, Cold: w.Cold, Pressed: w.Pressed,
		Link: time.Duration(w.LinkUs) * time.Microsecond, Inbound: time.Duration(w.InboundUs) * time.Microsecond}
	switch w.Kind {
	case kindAnswered:
		return &Answered{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Load: l}, CallID(w.ID), nil
	case kindRefused:
		return Refused{Cause: Cause(w.Cause), RetryAfter: time.Duration(w.RetryUs) * time.Microsecond, Load: l}, CallID(w.ID), nil
	case kindFailed:
		return Failed{Cause: Cause(w.Cause), Load: l}, CallID(w.ID), nil
	}
	return nil, "", errors.Wrapf(ErrMalformed, "unknown kind of outcome %d", w.Kind)
}

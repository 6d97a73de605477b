package feed

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/ugorji/go/codec"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/member"
	"github.com/cassialead/cassialead/store"
)

const maxPlan = 8 << 20 // bytes of a configuration; the store holds a megabyte

// Hello is what a child says first.
type Hello struct {
	Child member.Record
	Plan  config.Version // the version that the child holds
}

// News is what has changed since the last news; without changes it only says that the parent lives.
type News struct {
	// Full says that Members are all that the parent knows; From is the parent then, since another node may have taken
	// over its address.
	Full    bool
	From    fleet.NodeID
	Members []Entry
	Gone    []member.Record
	Plan    []byte         // a newer configuration, compressed
	Version config.Version // of Plan
	// Age is how long ago the store was heard of on the way of these news. It grows from node to node, so that nodes that
	// follow each other in a circle find out that nobody hears the store.
	Age time.Duration
	// Deaf says that the sender is a head that is cut off from the store: another one has to take its place.
	Deaf bool
	// Cut says that the sender's own calls of the store fail at present; its news may still be fresh by another way.
	Cut bool
	// Revision is the store's revision that the news are complete up to; zero says that a newer configuration follows later.
	Revision store.Revision
}

// Entry is a member and whether the store lists it.
type Entry struct {
	Record   member.Record
	Unlisted bool
}

// ErrStranger says that another node than the one expected answers at an address.
var ErrStranger = errors.New("another node has the address")

// ErrMalformed says that a message can't be read.
var ErrMalformed = errors.New("malformed news")

var handle = func() *codec.CborHandle {
	h := &codec.CborHandle{}
	h.StructToArray = true
	return h
}()

func encode(v any) ([]byte, error) {
	var b []byte
	err := codec.NewEncoderBytes(&b, handle).Encode(v)
	return b, errors.Wrap(err, "encode news")
}

func decode(b []byte, v any) error {
	if err := codec.NewDecoderBytes(b, handle).Decode(v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// Compress packs a configuration for News.
func Compress(plan []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress a configuration")
	}
	if _, err := w.Write(plan); err != nil {
		return nil, errors.Wrap(err, "compress a configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress a configuration")
	}
	return b.Bytes(), nil
}

// Expand unpacks a configuration of News.
func Expand(packed []byte) ([]byte, error) {
	plan, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxPlan))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return plan, nil
}

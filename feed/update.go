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
	"github.com/cassialead/cassialead/quota"
	"github.com/cassialead/cassialead/store"
	"github.com/cassialead/cassialead/upgrade"
)

const maxPlanBytes = 8 << 20 // limit of an uncompressed configuration in bytes; the store accepts at most a megabyte

// Hello is the handshake that a child sends after connecting.
type Hello struct {
	Child       member.Record
	PlanVersion config.Version // configuration version in force at the child
}

// Update holds the changes since the previous update on a connection; without changes it serves as the parent's keepalive.
type Update struct {
	// Full means that Members is the parent's complete membership view. From then identifies the parent, because another
	// node may have taken over its address.
	Full        bool
	From        fleet.NodeID
	Members     []Entry
	Removed     []member.Record
	Plan        []byte         // a newer configuration, compressed
	PlanVersion config.Version // of Plan
	// StoreAge is the time since the store last answered the node from which this update originates. It grows with every hop,
	// so nodes that follow each other in a cycle detect that none of them reaches the store.
	StoreAge time.Duration
	// Disconnected means that the sender is a head without a connection to the store and has to be replaced by another node.
	Disconnected bool
	// StoreFailing means that the sender's own calls to the store fail; its updates may still be fresh if it receives them from
	// another node.
	StoreFailing bool
	// Revision is the store revision up to which the updates are complete; zero means that a newer configuration is still
	// to be sent.
	Revision store.Revision
	Era      store.Era // of Revision
	// Incomplete means that a newer configuration is still to be sent, so that StoreAge does not apply to the receiver's state.
	Incomplete bool
	// Totals is the demand of the tenants by region; nil if it is not due.
	Totals []quota.Total
	// TakesReports means that the sender adds up the demand that its children report; a node of an earlier version does not read.
	TakesReports bool
	// Rollouts are the orders of new versions and the decisions on them; nil if they have not changed.
	Rollouts *upgrade.Set
}

// Entry is a member's record and whether its key is missing from the store.
type Entry struct {
	Record   member.Record
	Unlisted bool
}

// ErrUnexpectedNode is returned if a node other than the expected one answers at an address.
var ErrUnexpectedNode = errors.New("address belongs to another node")

// ErrMalformed is returned for a message that can't be decoded.
var ErrMalformed = errors.New("malformed feed message")

var cborHandle = func() *codec.CborHandle {
	h := &codec.CborHandle{}
	h.StructToArray = true
	return h
}()

func encode(v any) ([]byte, error) {
	var b []byte
	err := codec.NewEncoderBytes(&b, cborHandle).Encode(v)
	return b, errors.Wrap(err, "encode feed message")
}

func decode(b []byte, v any) error {
	if err := codec.NewDecoderBytes(b, cborHandle).Decode(v); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// Compress compresses a configuration for an update.
func Compress(plan []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	if _, err := w.Write(plan); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	return b.Bytes(), nil
}

// Decompress decompresses the configuration of an update.
func Decompress(compressed []byte) ([]byte, error) {
	plan, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxPlanBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return plan, nil
}

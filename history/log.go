package history

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/store"
)

// Log reads the accepted versions and appends new ones.
type Log struct {
	store store.KV
	now   func() time.Time
	newID func() string
}

// New returns a Log in a store; newID returns unique ids for lineages and snapshots.
func New(kv store.KV, now func() time.Time, newID func() string) *Log {
	return &Log{store: kv, now: now, newID: newID}
}

// ErrEmpty means that no version has been accepted yet.
var ErrEmpty = errors.New("no configuration has been accepted yet")

// ErrBaseRequired means that a change does not name the version that it was edited from.
var ErrBaseRequired = errors.New("the document names no base version")

// ErrVersionNotRetained means that a version can no longer be rebuilt from the retained snapshots and deltas.
var ErrVersionNotRetained = errors.New("version is no longer kept")

// ConflictError means that a change overlaps with changes that were accepted since its base version.
type ConflictError struct {
	BaseVersion config.Version
	HeadVersion config.Version
	Conflicts   []config.Conflict
	// AcceptedDeltas are the changes accepted since BaseVersion.
	AcceptedDeltas []config.Delta
}

// Error lists each conflicting key with its values, and the author and message of each accepted change.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "the edit of version %d overlaps with changes accepted up to version %d", e.BaseVersion, e.HeadVersion)
	for _, c := range e.Conflicts {
		fmt.Fprintf(&b, "\n  section [%s] key %q: base %q, accepted %q, yours %q", c.Section, c.Key, c.Base, c.Theirs, c.Ours)
	}
	for _, d := range e.AcceptedDeltas {
		fmt.Fprintf(&b, "\n  version %d by %s: %s", d.To, d.Author, d.Message)
	}
	return b.String()
}

// Change is an operator's edit of the document.
type Change struct {
	Document config.Document
	// BaseVersion is the version that the document was edited from; it is zero for the first document.
	BaseVersion config.Version
	Author      string
	Message     string
	ID          config.ChangeID
}

// Head returns the current head and its store index, or ErrEmpty.
func (l *Log) Head(ctx context.Context) (Head, store.Index, error) {
	e, err := l.store.Get(ctx, HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		return Head{}, 0, ErrEmpty
	}
	if err != nil {
		return Head{}, 0, err
	}
	h, err := DecodeHead(e.Value)
	return h, e.Index, err
}

// Document rebuilds the document of a version, or returns ErrVersionNotRetained.
func (l *Log) Document(ctx context.Context, h Head, v config.Version) (config.Document, error) {
	base := h.BaseSnapshot
	if base.Version > v {
		base = h.PreviousSnapshot
	}
	if base.Version == 0 || base.Version > v || v > h.Version {
		return nil, errors.Wrapf(ErrVersionNotRetained, "version %d", v)
	}
	doc, err := l.readSnapshot(ctx, base)
	if err != nil {
		return nil, err
	}
	deltas, ok := h.DeltasSince(base.Version)
	if !ok {
		return nil, errors.Wrapf(ErrVersionNotRetained, "version %d", v)
	}
	for _, d := range deltas {
		if d.To > v {
			break
		}
		if doc, err = d.Apply(doc); err != nil {
			return nil, err
		}
	}
	return doc, nil
}

const maxAttempts = 8

// Apply submits a change and returns the delta under which it was accepted. It merges the change with those accepted since its
// base version and returns a ConflictError if they overlap. Lost responses of the store are resolved by searching the head for
// the change's id; ErrUnknownOutcome is returned if the outcome can't be determined this way.
func (l *Log) Apply(ctx context.Context, c Change) (config.Delta, error) {
	var unresolved error
	for range maxAttempts {
		h, index, err := l.Head(ctx)
		if errors.Is(err, ErrEmpty) {
			h, err = Head{}, nil
		}
		if err != nil {
			if unresolved != nil {
				return config.Delta{}, unresolved
			}
			return config.Delta{}, err
		}
		if d, ok := h.FindChange(c.ID); ok {
			return d, nil
		}
		d, err := l.submit(ctx, c, h, index)
		switch {
		case err == nil:
			return d, nil
		case errors.Is(err, store.ErrUnknownOutcome):
			unresolved = err
		case errors.Is(err, store.ErrConflict):
			unresolved = nil
		default:
			return config.Delta{}, err
		}
	}
	return config.Delta{}, errors.Wrap(errOrConflict(unresolved), "change not accepted after repeated attempts")
}

func errOrConflict(err error) error {
	if err != nil {
		return err
	}
	return store.ErrConflict
}

func (l *Log) submit(ctx context.Context, c Change, h Head, index store.Index) (config.Delta, error) {
	current, merged, err := l.merge(ctx, c, h)
	if err != nil {
		return config.Delta{}, err
	}
	if _, err := config.Compile("merged document", merged); err != nil {
		return config.Delta{}, err
	}
	d := config.Diff(current, merged)
	d.From, d.To = h.Version, h.Version+1
	d.Change, d.Author, d.Message, d.SubmittedUnixMilli = c.ID, c.Author, c.Message, l.now().UnixMilli()
	next := h.next(d)
	if next.Lineage == "" {
		next.Lineage = config.Lineage(l.newID())
	}
	obsolete := Snapshot{}
	if next.needsSnapshot() {
		obsolete = next.PreviousSnapshot
		if next, err = l.addSnapshot(ctx, next, merged); err != nil {
			return config.Delta{}, err
		}
	}
	value, err := json.Marshal(next)
	if err != nil {
		return config.Delta{}, errors.Wrap(err, "encode head")
	}
	if err := l.store.CompareAndSwap(ctx, HeadKey, value, index); err != nil {
		return config.Delta{}, err
	}
	l.deleteSnapshot(ctx, obsolete)
	return d, nil
}

// merge returns the head's document and the document that results from merging the change into it.
func (l *Log) merge(ctx context.Context, c Change, h Head) (current, merged config.Document, err error) {
	if h.Version == 0 {
		return config.Document{}, c.Document, nil
	}
	if c.BaseVersion == 0 {
		return nil, nil, errors.Wrapf(ErrBaseRequired, "the accepted version is %d", h.Version)
	}
	if current, err = l.Document(ctx, h, h.Version); err != nil {
		return nil, nil, err
	}
	if c.BaseVersion == h.Version {
		return current, c.Document, nil
	}
	base, err := l.Document(ctx, h, c.BaseVersion)
	if err != nil {
		return nil, nil, err
	}
	merged, conflicts := config.Merge(base, current, c.Document)
	if len(conflicts) > 0 {
		accepted, _ := h.DeltasSince(c.BaseVersion)
		return nil, nil, &ConflictError{BaseVersion: c.BaseVersion, HeadVersion: h.Version, Conflicts: conflicts, AcceptedDeltas: accepted}
	}
	return current, merged, nil
}

func (l *Log) addSnapshot(ctx context.Context, h Head, doc config.Document) (Head, error) {
	s, err := l.writeSnapshot(ctx, Snapshot{Version: h.Version, Name: config.ChangeID(l.newID()), Digest: h.Digest}, doc)
	if err != nil {
		return Head{}, err
	}
	h.PreviousSnapshot, h.BaseSnapshot = h.BaseSnapshot, s
	return h, nil
}

func (s Snapshot) key(chunk int) store.Key {
	return store.Key(fmt.Sprintf("%s%d-%s/%d", snapshotPrefix, s.Version, s.Name, chunk))
}

func (l *Log) writeSnapshot(ctx context.Context, s Snapshot, doc config.Document) (Snapshot, error) {
	data, err := json.Marshal(doc)
	if err != nil {
		return s, errors.Wrap(err, "encode snapshot")
	}
	enc, err := zstd.NewWriter(nil)
	if err != nil {
		return s, errors.Wrap(err, "compress snapshot")
	}
	compressed := enc.EncodeAll(data, nil)
	for len(compressed) > 0 {
		n := min(len(compressed), maxChunkBytes)
		if err := l.store.CompareAndSwap(ctx, s.key(s.Chunks), compressed[:n], 0); err != nil {
			return s, errors.Wrap(err, "write snapshot chunk")
		}
		compressed = compressed[n:]
		s.Chunks++
	}
	return s, nil
}

func (l *Log) readSnapshot(ctx context.Context, s Snapshot) (config.Document, error) {
	var compressed bytes.Buffer
	for i := range s.Chunks {
		e, err := l.store.Get(ctx, s.key(i))
		if err != nil {
			return nil, errors.Wrap(err, "read snapshot chunk")
		}
		compressed.Write(e.Value)
	}
	dec, err := zstd.NewReader(&compressed, zstd.WithDecoderMaxMemory(4*config.MaxDocumentBytes), zstd.WithDecoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	defer dec.Close()
	data, err := io.ReadAll(dec)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, errors.Wrap(err, "decompress snapshot"))
	}
	var doc config.Document
	if err := json.Unmarshal(data, &doc); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, errors.Wrap(err, "decode snapshot"))
	}
	if doc.Digest() != s.Digest {
		return nil, errors.Wrapf(config.ErrDigestMismatch, "snapshot of version %d", s.Version)
	}
	return doc, nil
}

// deleteSnapshot deletes a snapshot that the head no longer refers to; chunks that remain after a failure are harmless.
func (l *Log) deleteSnapshot(ctx context.Context, s Snapshot) {
	for i := range s.Chunks {
		if err := l.store.Delete(ctx, s.key(i)); err != nil {
			return
		}
	}
}

// Rollback submits the document of an earlier version as a new version.
func (l *Log) Rollback(ctx context.Context, to config.Version, author string, id config.ChangeID) (config.Delta, error) {
	h, _, err := l.Head(ctx)
	if err != nil {
		return config.Delta{}, err
	}
	doc, err := l.Document(ctx, h, to)
	if err != nil {
		return config.Delta{}, err
	}
	return l.Apply(ctx, Change{Document: doc, BaseVersion: h.Version, Author: author, ID: id,
		Message: fmt.Sprintf("roll back to version %d", to)})
}

// ErrStoreUpToDate means that the store holds the version in force or a later one, and nothing has to be recovered.
var ErrStoreUpToDate = errors.New("store already holds this version or a later one")

// Recover writes the document in force on the nodes to the store as the accepted version, after the store was restored from
// an old backup; it returns ErrStoreUpToDate if the store holds that version or a later one.
func (l *Log) Recover(ctx context.Context, lineage config.Lineage, v config.Version, doc config.Document, author string,
	id config.ChangeID) (config.Delta, error) {
	h, index, err := l.Head(ctx)
	if err != nil && !errors.Is(err, ErrEmpty) {
		return config.Delta{}, err
	}
	if h.Lineage == lineage && h.Version >= v {
		return config.Delta{}, errors.Wrapf(ErrStoreUpToDate, "store at version %d, node at %d", h.Version, v)
	}
	d := config.Delta{From: v - 1, To: v, Digest: doc.Digest(), Change: id, Author: author, SubmittedUnixMilli: l.now().UnixMilli(),
		Message: "recovered from a node"}
	// The new head has no deltas: those between the backup and this version are lost.
	next, err := l.addSnapshot(ctx, Head{Lineage: lineage, Version: v, Digest: d.Digest}, doc)
	if err != nil {
		return config.Delta{}, err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return config.Delta{}, errors.Wrap(err, "encode head")
	}
	return d, l.store.CompareAndSwap(ctx, HeadKey, value, index)
}

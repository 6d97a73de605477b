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

// Log reads and extends the accepted versions.
type Log struct {
	store store.Port
	now   func() time.Time
	newID func() string
}

// New returns a Log over a store; newID returns unique names for changes and lineages.
func New(port store.Port, now func() time.Time, newID func() string) *Log {
	return &Log{store: port, now: now, newID: newID}
}

// ErrEmpty says that no version has been accepted yet.
var ErrEmpty = errors.New("no configuration has been accepted yet")

// ErrBaseRequired says that an edit names no version it was based on.
var ErrBaseRequired = errors.New("the document names no base version")

// ErrTooOld says that a version can no longer be rebuilt.
var ErrTooOld = errors.New("version is no longer kept")

// ConflictError says that an edit overlaps with one accepted meanwhile.
type ConflictError struct {
	Base      config.Version
	Head      config.Version
	Conflicts []config.Conflict
	// Others are the accepted changes since Base.
	Others []config.Delta
}

// Error lists each clashing key with both values and the authors of the accepted changes.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "the edit of version %d overlaps with changes accepted up to version %d", e.Base, e.Head)
	for _, c := range e.Conflicts {
		fmt.Fprintf(&b, "\n  section [%s] key %q: base %q, accepted %q, yours %q", c.Section, c.Key, c.Base, c.Theirs, c.Ours)
	}
	for _, d := range e.Others {
		fmt.Fprintf(&b, "\n  version %d by %s: %s", d.To, d.Author, d.Message)
	}
	return b.String()
}

// Change is an edit that an operator submits.
type Change struct {
	Document config.Document
	// Base is the version the edit started from; it is zero for a first document.
	Base    config.Version
	Author  string
	Message string
	ID      config.ChangeID
}

// Head returns the accepted head with its store index, or ErrEmpty.
func (l *Log) Head(ctx context.Context) (Head, store.Index, error) {
	e, err := l.store.Get(ctx, HeadKey)
	if errors.Is(err, store.ErrAbsent) {
		return Head{}, 0, ErrEmpty
	}
	if err != nil {
		return Head{}, 0, err
	}
	h, err := DecodeHead(e.Value)
	return h, e.Index, err
}

// Document rebuilds the document of a version, or returns ErrTooOld.
func (l *Log) Document(ctx context.Context, h Head, v config.Version) (config.Document, error) {
	base := h.Base
	if base.Version > v {
		base = h.Previous
	}
	if base.Version == 0 || base.Version > v || v > h.Version {
		return nil, errors.Wrapf(ErrTooOld, "version %d", v)
	}
	doc, err := l.readSnapshot(ctx, base)
	if err != nil {
		return nil, err
	}
	deltas, ok := h.Since(base.Version)
	if !ok {
		return nil, errors.Wrapf(ErrTooOld, "version %d", v)
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

// Apply submits a change and returns the delta that was accepted for it. It merges edits that do not overlap, returns
// a ConflictError for those that do, and resolves lost answers by the change's id; ErrUnknownOutcome remains only
// while the store can't be read.
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
		if d, ok := h.Find(c.ID); ok {
			return d, nil
		}
		d, err := l.submit(ctx, c, h, index)
		switch {
		case err == nil:
			return d, nil
		case errors.Is(err, store.ErrUnknownOutcome):
			unresolved = err
		case errors.Is(err, store.ErrRefused):
			unresolved = nil
		default:
			return config.Delta{}, err
		}
	}
	return config.Delta{}, errors.Wrap(unresolvedOr(unresolved), "gave up after repeated attempts")
}

func unresolvedOr(err error) error {
	if err != nil {
		return err
	}
	return store.ErrRefused
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
	stale := Snapshot{}
	if next.needsBase() {
		stale = next.Previous
		if next, err = l.rebase(ctx, next, merged); err != nil {
			return config.Delta{}, err
		}
	}
	value, err := json.Marshal(next)
	if err != nil {
		return config.Delta{}, errors.Wrap(err, "head")
	}
	if err := l.store.Swap(ctx, HeadKey, value, index); err != nil {
		return config.Delta{}, err
	}
	l.deleteSnapshot(ctx, stale)
	return d, nil
}

// merge returns the head's document and the one that the change makes of it.
func (l *Log) merge(ctx context.Context, c Change, h Head) (current, merged config.Document, err error) {
	if h.Version == 0 {
		return config.Document{}, c.Document, nil
	}
	if c.Base == 0 {
		return nil, nil, errors.Wrapf(ErrBaseRequired, "the accepted version is %d", h.Version)
	}
	if current, err = l.Document(ctx, h, h.Version); err != nil {
		return nil, nil, err
	}
	if c.Base == h.Version {
		return current, c.Document, nil
	}
	base, err := l.Document(ctx, h, c.Base)
	if err != nil {
		return nil, nil, err
	}
	merged, conflicts := config.Merge(base, current, c.Document)
	if len(conflicts) > 0 {
		others, _ := h.Since(c.Base)
		return nil, nil, &ConflictError{Base: c.Base, Head: h.Version, Conflicts: conflicts, Others: others}
	}
	return current, merged, nil
}

func (l *Log) rebase(ctx context.Context, h Head, doc config.Document) (Head, error) {
	s, err := l.writeSnapshot(ctx, Snapshot{Version: h.Version, Name: config.ChangeID(l.newID()), Digest: h.Digest}, doc)
	if err != nil {
		return Head{}, err
	}
	h.Previous, h.Base = h.Base, s
	return h, nil
}

func (s Snapshot) key(chunk int) store.Key {
	return store.Key(fmt.Sprintf("%s%d-%s/%d", snapshotPrefix, s.Version, s.Name, chunk))
}

func (l *Log) writeSnapshot(ctx context.Context, s Snapshot, doc config.Document) (Snapshot, error) {
	data, err := json.Marshal(doc)
	if err != nil {
		return s, errors.Wrap(err, "snapshot")
	}
	enc, err := zstd.NewWriter(nil)
	if err != nil {
		return s, errors.Wrap(err, "snapshot")
	}
	packed := enc.EncodeAll(data, nil)
	for len(packed) > 0 {
		n := min(len(packed), maxChunkBytes)
		if err := l.store.Swap(ctx, s.key(s.Chunks), packed[:n], 0); err != nil {
			return s, errors.Wrap(err, "snapshot chunk")
		}
		packed = packed[n:]
		s.Chunks++
	}
	return s, nil
}

func (l *Log) readSnapshot(ctx context.Context, s Snapshot) (config.Document, error) {
	var packed bytes.Buffer
	for i := range s.Chunks {
		e, err := l.store.Get(ctx, s.key(i))
		if err != nil {
			return nil, errors.Wrap(err, "snapshot chunk")
		}
		packed.Write(e.Value)
	}
	dec, err := zstd.NewReader(&packed, zstd.WithDecoderMaxMemory(4*config.MaxDocumentBytes), zstd.WithDecoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	defer dec.Close()
	data, err := io.ReadAll(dec)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, errors.Wrap(err, "snapshot"))
	}
	var doc config.Document
	if err := json.Unmarshal(data, &doc); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, errors.Wrap(err, "snapshot"))
	}
	if doc.Digest() != s.Digest {
		return nil, errors.Wrapf(config.ErrDigestMismatch, "snapshot of version %d", s.Version)
	}
	return doc, nil
}

// deleteSnapshot removes a snapshot that no head names any more; what is left behind by a failure does no harm.
func (l *Log) deleteSnapshot(ctx context.Context, s Snapshot) {
	for i := range s.Chunks {
		if err := l.store.Delete(ctx, s.key(i)); err != nil {
			return
		}
	}
}

// Rollback submits the content of an older version as a new one.
func (l *Log) Rollback(ctx context.Context, to config.Version, author string, id config.ChangeID) (config.Delta, error) {
	h, _, err := l.Head(ctx)
	if err != nil {
		return config.Delta{}, err
	}
	doc, err := l.Document(ctx, h, to)
	if err != nil {
		return config.Delta{}, err
	}
	return l.Apply(ctx, Change{Document: doc, Base: h.Version, Author: author, ID: id,
		Message: fmt.Sprintf("roll back to version %d", to)})
}

// ErrNotBehind says that the store holds the version in force or a later one, so that there is nothing to recover.
var ErrNotBehind = errors.New("the store is not behind")

// Recover makes a document that is in force on the nodes the accepted one again, after the store was put back from an
// old copy; it returns ErrNotBehind when the store holds that version or a later one.
func (l *Log) Recover(ctx context.Context, lineage config.Lineage, v config.Version, doc config.Document, author string,
	id config.ChangeID) (config.Delta, error) {
	h, index, err := l.Head(ctx)
	if err != nil && !errors.Is(err, ErrEmpty) {
		return config.Delta{}, err
	}
	if h.Lineage == lineage && h.Version >= v {
		return config.Delta{}, errors.Wrapf(ErrNotBehind, "store at version %d, node at %d", h.Version, v)
	}
	d := config.Delta{From: v - 1, To: v, Digest: doc.Digest(), Change: id, Author: author, SubmittedUnixMilli: l.now().UnixMilli(),
		Message: "recovered from a node"}
	// The ring starts anew: the deltas between the old copy and this version are lost.
	next, err := l.rebase(ctx, Head{Lineage: lineage, Version: v, Digest: d.Digest}, doc)
	if err != nil {
		return config.Delta{}, err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return config.Delta{}, errors.Wrap(err, "head")
	}
	return d, l.store.Swap(ctx, HeadKey, value, index)
}

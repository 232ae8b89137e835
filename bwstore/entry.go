package bwstore

import "encoding/json"

// Entry is the state of one key at one store revision.
type Entry struct {
	key      string
	value    []byte
	revision int64
	deleted  bool
}

// NewEntry returns an entry with the given value at revision.
func NewEntry(key string, value []byte, revision int64) Entry {
	return Entry{key: key, value: value, revision: revision}
}

// NewDeletion returns an entry that records the deletion of key at revision.
func NewDeletion(key string, revision int64) Entry {
	return Entry{key: key, revision: revision, deleted: true}
}

// Key returns the entry's key.
func (e Entry) Key() string { return e.key }

// Value returns the JSON value, or nil for a deletion.
func (e Entry) Value() []byte { return e.value }

// Revision returns the store revision of the entry's last change.
func (e Entry) Revision() int64 { return e.revision }

// IsDeleted reports whether the entry records a deletion.
func (e Entry) IsDeleted() bool { return e.deleted }

// Listing is a snapshot of the entries under a prefix at one store revision.
type Listing struct {
	entries  []Entry
	revision int64
}

// Entries returns the entries, ordered by key.
func (l Listing) Entries() []Entry { return l.entries }

// Revision returns the store revision of the listing.
func (l Listing) Revision() int64 { return l.revision }

// Changes is the result of one long poll of a watch.
type Changes struct {
	entries   []Entry
	revision  int64
	compacted bool
}

// Entries returns the changed entries, ordered by revision.
func (c Changes) Entries() []Entry { return c.entries }

// Revision returns the store revision up to which the changes are complete.
func (c Changes) Revision() int64 { return c.revision }

// IsCompacted reports whether changes after the requested revision were compacted away,
// so that the caller must list again.
func (c Changes) IsCompacted() bool { return c.compacted }

// LeaseID identifies a lease of the store.
type LeaseID string

// NoLease is the lease id of a key that is not attached to a lease and never expires.
const NoLease LeaseID = ""

// WriteStatus is what the client knows about the effect of a write.
type WriteStatus int

// The values of WriteStatus.
const (
	// NotWritten means that the write did not take effect and will not.
	NotWritten WriteStatus = iota
	// Written means that the write took effect at the result's revision.
	Written
	// Conflict means that the write did not take effect because the key was not at the
	// expected revision.
	Conflict
	// Uncertain means that the write may or may not have taken effect.
	Uncertain
)

// String returns the status in lower camel case.
func (s WriteStatus) String() string {
	switch s {
	case Written:
		return "written"
	case Conflict:
		return "conflict"
	case Uncertain:
		return "doubtful"
	}
	return "notWritten"
}

// WriteResult is the result of a write.
type WriteResult struct {
	status   WriteStatus
	revision int64
}

// NewWriteResult returns a result, for fakes of the store.
func NewWriteResult(s WriteStatus, revision int64) WriteResult {
	return WriteResult{status: s, revision: revision}
}

// Status returns the status of the write.
func (r WriteResult) Status() WriteStatus { return r.status }

// Revision returns the revision of the key after the write if the status is Written, and
// the revision that the key is at if the status is Conflict.
func (r WriteResult) Revision() int64 { return r.revision }

// envelope is the stored form of a value. The write id lets a writer recognise its own
// write if the reply was lost.
type envelope struct {
	WriteID string          `json:"writeId"`
	Value   json.RawMessage `json:"value"`
}

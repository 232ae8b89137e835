package bwstore

import "encoding/json"

// The messages below are the platform's key-value protocol over HTTP and JSON, as
// docs/STORE-PROTOCOL.md describes it. The stand-in serves the same messages.

// KeyMessage is one key on the wire.
type KeyMessage struct {
	Key      string          `json:"key"`
	Value    json.RawMessage `json:"value,omitempty"`
	Revision int64           `json:"revision"`
	Deleted  bool            `json:"deleted,omitempty"`
}

// ListMessage is the reply to a list or a watch.
type ListMessage struct {
	Entries   []KeyMessage `json:"entries"`
	Revision  int64        `json:"revision"`
	Compacted bool         `json:"compacted,omitempty"`
}

// PutMessage asks for a write at an expected revision; 0 expects an absent key.
type PutMessage struct {
	Value            json.RawMessage `json:"value"`
	ExpectedRevision int64           `json:"expectedRevision"`
	LeaseID          string          `json:"leaseId,omitempty"`
}

// RevisionMessage is the reply to a write, also to one that met another revision.
type RevisionMessage struct {
	Revision int64 `json:"revision"`
}

// LeaseMessage asks for a lease, or returns one.
type LeaseMessage struct {
	LeaseID   string `json:"leaseId,omitempty"`
	TTLMillis int64  `json:"ttlMillis"`
}

package bwstore

import "encoding/json"

// The messages below make up the platform's key-value protocol over HTTP and JSON, which
// docs/STORE-PROTOCOL.md specifies. The stand-in server uses the same types.

// KeyMessage is the state of one key.
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

// PutMessage requests a write at the expected revision; 0 means that the key must be
// absent.
type PutMessage struct {
	Value            json.RawMessage `json:"value"`
	ExpectedRevision int64           `json:"expectedRevision"`
	LeaseID          string          `json:"leaseId,omitempty"`
}

// RevisionMessage is the reply to a write, including one that failed with a revision
// conflict.
type RevisionMessage struct {
	Revision int64 `json:"revision"`
}

// LeaseMessage is the request for a lease and the reply to it.
type LeaseMessage struct {
	LeaseID   string `json:"leaseId,omitempty"`
	TTLMillis int64  `json:"ttlMillis"`
}

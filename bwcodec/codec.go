// Package bwcodec turns protobuf messages into the JSON values of the store.
//
// Configuration is stored as protobuf's JSON mapping, which operators can read. Logs
// are stored as the binary encoding inside a JSON string, which keeps large batches
// within the size limit of the store.
package bwcodec

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"strings"

	"github.com/samber/oops"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// packed is the JSON value that wraps a binary encoding.
type packed struct {
	Protobuf string `json:"protobuf"`
}

// Pack returns m in the compact form for logs.
func Pack(m proto.Message) ([]byte, error) {
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, oops.In("bwcodec").Wrapf(err, "encode message")
	}
	return json.Marshal(packed{Protobuf: base64.StdEncoding.EncodeToString(data)})
}

// Unpack reads the compact form into m.
func Unpack(value []byte, m proto.Message) error {
	var p packed
	if err := json.Unmarshal(value, &p); err != nil {
		return oops.In("bwcodec").Wrapf(err, "decode message")
	}
	data, err := base64.StdEncoding.DecodeString(p.Protobuf)
	if err != nil {
		return oops.In("bwcodec").Wrapf(err, "decode message")
	}
	return oops.In("bwcodec").Wrap(proto.Unmarshal(data, m))
}

// Marshal returns m in the readable form for configuration.
func Marshal(m proto.Message) ([]byte, error) {
	data, err := protojson.Marshal(m)
	if err != nil {
		return nil, oops.In("bwcodec").Wrapf(err, "encode message")
	}
	// The library varies its white space between builds; stored values should not.
	var compact bytes.Buffer
	if err := json.Compact(&compact, data); err != nil {
		return nil, oops.In("bwcodec").Wrapf(err, "encode message")
	}
	return compact.Bytes(), nil
}

// MarshalIndented returns the readable form with one field a line.
func MarshalIndented(m proto.Message) ([]byte, error) {
	data, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return nil, oops.In("bwcodec").Wrapf(err, "encode message")
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, data, "", "  "); err != nil {
		return nil, oops.In("bwcodec").Wrapf(err, "encode message")
	}
	return indented.Bytes(), nil
}

// Unmarshal reads a stored configuration value and ignores fields of newer versions.
func Unmarshal(value []byte, m proto.Message) error {
	err := protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(value, m)
	return oops.In("bwcodec").Wrap(err)
}

// UnmarshalStrict reads operators' input and refuses unknown fields.
func UnmarshalStrict(input []byte, m proto.Message) error {
	err := protojson.Unmarshal(input, m)
	if err == nil {
		return nil
	}
	// The library varies the white space of its messages between builds.
	return oops.In("bwcodec").Errorf("%s", strings.ReplaceAll(err.Error(), "\u00a0", " "))
}

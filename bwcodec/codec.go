// Package bwcodec encodes protobuf messages as the JSON values that the store holds.
//
// Configuration is stored in protobuf's JSON mapping, which operators can read. Logs are
// stored as the binary encoding in a base64 JSON string, which keeps large batches within
// the value size limit of the store.
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

// binaryValue is the JSON value that wraps the binary encoding in base64.
type binaryValue struct {
	Protobuf string `json:"protobuf"`
}

// MarshalBinary returns the binary form of m, for logs.
func MarshalBinary(m proto.Message) ([]byte, error) {
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, oops.In("bwcodec").Wrapf(err, "encode message")
	}
	return json.Marshal(binaryValue{Protobuf: base64.StdEncoding.EncodeToString(data)})
}

// UnmarshalBinary decodes the binary form into m.
func UnmarshalBinary(value []byte, m proto.Message) error {
	var wrapped binaryValue
	if err := json.Unmarshal(value, &wrapped); err != nil {
		return oops.In("bwcodec").Wrapf(err, "decode message")
	}
	data, err := base64.StdEncoding.DecodeString(wrapped.Protobuf)
	if err != nil {
		return oops.In("bwcodec").Wrapf(err, "decode message")
	}
	return oops.In("bwcodec").Wrap(proto.Unmarshal(data, m))
}

// Marshal returns the JSON form of m, for configuration.
func Marshal(m proto.Message) ([]byte, error) {
	data, err := protojson.Marshal(m)
	if err != nil {
		return nil, oops.In("bwcodec").Wrapf(err, "encode message")
	}
	// protojson varies its white space between builds. Stored values must not vary, so the
	// white space is removed.
	var compact bytes.Buffer
	if err := json.Compact(&compact, data); err != nil {
		return nil, oops.In("bwcodec").Wrapf(err, "encode message")
	}
	return compact.Bytes(), nil
}

// MarshalIndented returns the JSON form of m with one field per line. It includes unset
// fields.
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

// Unmarshal decodes a stored configuration value into m. It ignores unknown fields, which
// newer versions may have written.
func Unmarshal(value []byte, m proto.Message) error {
	err := protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(value, m)
	return oops.In("bwcodec").Wrap(err)
}

// UnmarshalStrict decodes an operator's input into m. Unknown fields are an error.
func UnmarshalStrict(input []byte, m proto.Message) error {
	err := protojson.Unmarshal(input, m)
	if err == nil {
		return nil
	}
	// protojson varies the white space in its error messages between builds: some use
	// non-breaking spaces.
	return oops.In("bwcodec").Errorf("%s", strings.ReplaceAll(err.Error(), "\u00a0", " "))
}

package bwadmin

import (
	"encoding/json"

	"github.com/samber/oops"
	"sigs.k8s.io/yaml"
)

// Document is the content of the file that basilwood apply reads, in YAML or JSON. Each
// element is one value as the administration API represents it.
type Document struct {
	Teams    []json.RawMessage `json:"teams"`
	Pools    []json.RawMessage `json:"pools"`
	Profiles []json.RawMessage `json:"profiles"`
	Hosts    []json.RawMessage `json:"hosts"`
}

// Element is one value of a document.
type Element struct {
	kind  string
	name  string
	value []byte
}

// Kind returns the kind of the value: profiles, teams, pools or hosts.
func (e Element) Kind() string { return e.kind }

// Name returns the name of the value.
func (e Element) Name() string { return e.name }

// Value returns the value as JSON.
func (e Element) Value() []byte { return e.value }

// ParseDocument decodes a document and returns its elements in dependency order: each element
// refers only to earlier ones.
func ParseDocument(content []byte) ([]Element, error) {
	var document Document
	if err := yaml.UnmarshalStrict(content, &document); err != nil {
		return nil, oops.In("bwadmin").Wrapf(err, "parse document")
	}
	var elements []Element
	for _, section := range []struct {
		kind   string
		values []json.RawMessage
	}{{"teams", document.Teams}, {"pools", document.Pools}, {"hosts", document.Hosts}, {"profiles", document.Profiles}} {
		for i, value := range section.values {
			var named struct {
				Name string `json:"name"`
			}
			if err := json.Unmarshal(value, &named); err != nil || named.Name == "" {
				return nil, oops.In("bwadmin").Errorf("%s: element %d has no name", section.kind, i+1)
			}
			elements = append(elements, Element{kind: section.kind, name: named.Name, value: value})
		}
	}
	return elements, nil
}

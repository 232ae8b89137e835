package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"

	"basilwood.example/basilwood/bwadmin"
	"basilwood.example/basilwood/bwcontroller"
	"basilwood.example/basilwood/bwreport"
	"github.com/samber/oops"
	"sigs.k8s.io/yaml"
)

// set replaces a value with the content of a file if --file is given. Otherwise it changes
// fields of the stored value, or creates the value if it does not exist.
func (s *session) set(ctx context.Context) error {
	if s.file != "" {
		return s.setFile(ctx)
	}
	fields, revision, err := s.present(ctx)
	if err != nil {
		return err
	}
	fields["name"] = json.RawMessage(fmt.Sprintf("%q", s.name))
	for _, f := range s.fields {
		name, value, ok := strings.Cut(f, "=")
		if !ok {
			return oops.Errorf("--set %q: must have the form FIELD=VALUE", f)
		}
		fields[name] = jsonValue(value)
	}
	// The stored value also holds fields that operators cannot set and the controller rejects.
	delete(fields, "wave")
	delete(fields, "permits")
	delete(fields, "state")
	value, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	if s.expected != bwadmin.AnyRevision {
		revision = s.expected
	}
	accepted, err := s.client.Put(ctx, s.kind, s.name, value, revision)
	return s.accepted(ctx, accepted, err)
}

func (s *session) setFile(ctx context.Context) error {
	content, err := os.ReadFile(s.file)
	if err != nil {
		return err
	}
	value, err := yaml.YAMLToJSON(content)
	if err != nil {
		return err
	}
	revision, err := s.client.Put(ctx, s.kind, s.name, value, s.expected)
	return s.accepted(ctx, revision, err)
}

// present returns the fields and the revision of the stored value. If the value does not
// exist, it returns no fields and AnyRevision.
func (s *session) present(ctx context.Context) (map[string]json.RawMessage, int64, error) {
	fields := make(map[string]json.RawMessage)
	item, err := s.client.Get(ctx, s.kind, s.name)
	if err != nil && isNotFound(err) {
		return fields, bwadmin.AnyRevision, nil
	}
	if err != nil {
		return nil, 0, err
	}
	return fields, item.Revision, json.Unmarshal(item.Value, &fields)
}

func isNotFound(err error) bool {
	f, ok := err.(*bwadmin.APIError)
	return ok && f.Code() == "notFound"
}

// jsonValue returns value unchanged if it is valid JSON, such as a number or true, and as a
// JSON string otherwise.
func jsonValue(value string) json.RawMessage {
	if json.Valid([]byte(value)) {
		return json.RawMessage(value)
	}
	quoted, err := json.Marshal(value)
	if err != nil {
		return json.RawMessage(`""`)
	}
	return quoted
}

// apply stores every value of a file that differs from the stored value.
func (s *session) apply(ctx context.Context) error {
	content, err := os.ReadFile(s.file)
	if err != nil {
		return err
	}
	elements, err := bwadmin.ParseDocument(content)
	if err != nil {
		return err
	}
	last := int64(0)
	for _, e := range elements {
		line, revision, err := s.applyElement(ctx, e)
		if err != nil {
			return oops.Wrapf(err, "%s %s", e.Kind(), e.Name())
		}
		last = max(last, revision)
		fmt.Println(line)
	}
	if s.dryRun || last == 0 {
		return nil
	}
	return s.accepted(ctx, last, nil)
}

// applyElement stores one value if it differs from the stored value, and returns a
// description of the change and its revision. The revision is 0 if nothing was stored.
func (s *session) applyElement(ctx context.Context, e bwadmin.Element) (string, int64, error) {
	item, err := s.client.Get(ctx, e.Kind(), e.Name())
	if err != nil && !isNotFound(err) {
		return "", 0, err
	}
	isNew := err != nil
	diff, err := difference(item.Value, e.Value())
	if err != nil {
		return "", 0, err
	}
	label := e.Kind() + "/" + e.Name()
	if !isNew && diff == "" {
		return "unchanged " + label, 0, nil
	}
	verb := "changed "
	if isNew {
		verb = "created "
		diff = ""
	}
	if s.dryRun {
		return "would be " + verb + label + diff, 0, nil
	}
	revision, err := s.client.Put(ctx, e.Kind(), e.Name(), e.Value(), bwadmin.AnyRevision)
	return verb + label + diff, revision, err
}

// difference lists the fields of wanted that differ from present, one per line.
func difference(present, wanted []byte) (string, error) {
	before, after := make(map[string]any), make(map[string]any)
	if len(present) > 0 {
		if err := json.Unmarshal(present, &before); err != nil {
			return "", err
		}
	}
	if err := json.Unmarshal(wanted, &after); err != nil {
		return "", err
	}
	var lines []string
	for field, value := range after {
		if fmt.Sprint(before[field]) != fmt.Sprint(value) {
			lines = append(lines, fmt.Sprintf("\n  %s: %v -> %v", field, before[field], value))
		}
	}
	sort.Strings(lines)
	return strings.Join(lines, ""), nil
}

// columns are the fields that the list command shows, by kind.
var columns = map[string][]string{
	"profiles": {"name", "team", "pool", "guaranteedSlots", "urgency", "repetition", "timeoutMillis"},
	"teams":    {"name", "quotaSlots"},
	"pools":    {"name", "service", "maxUnavailable"},
	"hosts":    {"name", "pool", "rack", "dataCentre", "address", "slots", "state"},
}

func itemTable(kind string, items []bwcontroller.Item) string {
	heading := []string{}
	for _, c := range columns[kind] {
		heading = append(heading, strings.ToUpper(c))
	}
	rows := [][]string{append(heading, "REVISION")}
	for _, item := range items {
		fields := make(map[string]any)
		if json.Unmarshal(item.Value, &fields) != nil {
			continue
		}
		var row []string
		for _, c := range columns[kind] {
			row = append(row, fmt.Sprint(fields[c]))
		}
		rows = append(rows, append(row, fmt.Sprint(item.Revision)))
	}
	return bwreport.Table(rows)
}

func itemText(item bwcontroller.Item) string {
	value, err := yaml.JSONToYAML(item.Value)
	if err != nil {
		return string(item.Value) + "\n"
	}
	return fmt.Sprintf("# revision %d\n%s", item.Revision, value)
}

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
func (inv *invocation) set(ctx context.Context) error {
	if inv.file != "" {
		return inv.setFile(ctx)
	}
	fields, revision, err := inv.storedFields(ctx)
	if err != nil {
		return err
	}
	fields["name"] = json.RawMessage(fmt.Sprintf("%q", inv.name))
	for _, f := range inv.fieldChanges {
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
	if inv.expectedRevision != bwadmin.AnyRevision {
		revision = inv.expectedRevision
	}
	newRevision, err := inv.client.Put(ctx, inv.kind, inv.name, value, revision)
	return inv.finishChange(ctx, newRevision, err)
}

func (inv *invocation) setFile(ctx context.Context) error {
	content, err := os.ReadFile(inv.file)
	if err != nil {
		return err
	}
	value, err := yaml.YAMLToJSON(content)
	if err != nil {
		return err
	}
	revision, err := inv.client.Put(ctx, inv.kind, inv.name, value, inv.expectedRevision)
	return inv.finishChange(ctx, revision, err)
}

// storedFields returns the fields and the revision of the stored value. If the value does not
// exist, it returns no fields and AnyRevision.
func (inv *invocation) storedFields(ctx context.Context) (map[string]json.RawMessage, int64, error) {
	fields := make(map[string]json.RawMessage)
	item, err := inv.client.Get(ctx, inv.kind, inv.name)
	if err != nil && isNotFound(err) {
		return fields, bwadmin.AnyRevision, nil
	}
	if err != nil {
		return nil, 0, err
	}
	return fields, item.Revision, json.Unmarshal(item.Value, &fields)
}

func isNotFound(err error) bool {
	apiErr, ok := err.(*bwadmin.APIError)
	return ok && apiErr.Code() == "notFound"
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
func (inv *invocation) apply(ctx context.Context) error {
	content, err := os.ReadFile(inv.file)
	if err != nil {
		return err
	}
	elements, err := bwadmin.ParseDocument(content)
	if err != nil {
		return err
	}
	lastRevision := int64(0)
	for _, e := range elements {
		summary, revision, err := inv.applyElement(ctx, e)
		if err != nil {
			return oops.Wrapf(err, "%s %s", e.Kind(), e.Name())
		}
		lastRevision = max(lastRevision, revision)
		fmt.Println(summary)
	}
	if inv.dryRun || lastRevision == 0 {
		return nil
	}
	return inv.finishChange(ctx, lastRevision, nil)
}

// applyElement stores one value if it differs from the stored value, and returns a
// description of the change and its revision. The revision is 0 if nothing was stored.
func (inv *invocation) applyElement(ctx context.Context, e bwadmin.Element) (string, int64, error) {
	item, err := inv.client.Get(ctx, e.Kind(), e.Name())
	if err != nil && !isNotFound(err) {
		return "", 0, err
	}
	isNew := err != nil
	diff, err := diffFields(item.Value, e.Value())
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
	if inv.dryRun {
		return "would be " + verb + label + diff, 0, nil
	}
	revision, err := inv.client.Put(ctx, e.Kind(), e.Name(), e.Value(), bwadmin.AnyRevision)
	return verb + label + diff, revision, err
}

// diffFields lists the fields of wanted that differ from stored, one per line.
func diffFields(stored, wanted []byte) (string, error) {
	before, after := make(map[string]any), make(map[string]any)
	if len(stored) > 0 {
		if err := json.Unmarshal(stored, &before); err != nil {
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

// listColumns are the fields that the list command shows, by kind.
var listColumns = map[string][]string{
	"profiles": {"name", "team", "pool", "guaranteedSlots", "urgency", "repetition", "timeoutMillis"},
	"teams":    {"name", "quotaSlots"},
	"pools":    {"name", "service", "maxUnavailable"},
	"hosts":    {"name", "pool", "rack", "dataCentre", "address", "slots", "state"},
}

func itemTable(kind string, items []bwcontroller.Item) string {
	header := []string{}
	for _, c := range listColumns[kind] {
		header = append(header, strings.ToUpper(c))
	}
	rows := [][]string{append(header, "REVISION")}
	for _, item := range items {
		fields := make(map[string]any)
		if json.Unmarshal(item.Value, &fields) != nil {
			continue
		}
		var row []string
		for _, c := range listColumns[kind] {
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

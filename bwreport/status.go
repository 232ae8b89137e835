package bwreport

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"basilwood.example/basilwood/bwcontroller"
)

// Table formats rows as aligned columns; the first row is the heading.
func Table(rows [][]string) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	// Writes to a strings.Builder cannot fail.
	_ = w.Flush()
	return b.String()
}

// Status formats the status of the fleet.
func Status(s bwcontroller.Status) string {
	rows := [][]string{{"POOL", "SERVICE", "HOSTS", "UP", "DOWN", "PERMITS", "BUDGET LEFT", "WAVE", "DONE"}}
	for _, p := range s.Pools {
		rows = append(rows, []string{
			p.Pool, p.Service, fmt.Sprint(p.Hosts), fmt.Sprint(p.Up), fmt.Sprint(p.Down),
			fmt.Sprint(p.Permits), fmt.Sprint(p.BudgetLeft), p.Wave, p.Maintenance,
		})
	}
	text := Table(rows)
	rows = [][]string{{"ENTRY", "DATA CENTRE", "ANSWERS", "REVISION"}}
	for _, e := range s.Entries {
		rows = append(rows, []string{e.Entry, e.DataCentre, fmt.Sprint(e.Answers), fmt.Sprint(e.Revision)})
	}
	text += "\n" + Table(rows)
	text += fmt.Sprintf("\nconfiguration revision %d\n", s.Revision)
	for _, a := range s.Attention {
		text += "ATTENTION: " + a + "\n"
	}
	return text
}

// Maintenance formats the progress of a pool's maintenance.
func Maintenance(s bwcontroller.MaintenanceStatus) string {
	text := fmt.Sprintf("pool %s: wave %s, %d of %d hosts done\n", s.Pool, s.State, s.Done, s.Hosts)
	if len(s.Permits) == 0 {
		return text
	}
	rows := [][]string{{"HOST", "KIND", "STEP", "WAITS FOR"}}
	for _, p := range s.Permits {
		rows = append(rows, []string{p.Host, p.Kind, p.Step, p.WaitsFor})
	}
	return text + Table(rows)
}

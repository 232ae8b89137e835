package bwreport

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// maxLogLine is the size in bytes of the longest log line that Explain reads.
const maxLogLine = 1 << 20

// logLine is one line of a process's structured log.
type logLine struct {
	at     time.Time
	prefix string
	fields map[string]any
}

// Explain reads the structured logs of several processes and writes the lines about one
// request or job, sorted by time. It returns the number of lines that it found. A line may
// have a prefix before its JSON, such as the name of the process; the prefix is kept.
func Explain(w io.Writer, id string, logs ...io.Reader) (int, error) {
	var found []logLine
	for _, log := range logs {
		lines, err := readLog(log, id)
		if err != nil {
			return 0, err
		}
		found = append(found, lines...)
	}
	sort.SliceStable(found, func(a, b int) bool { return found[a].at.Before(found[b].at) })
	for _, l := range found {
		fmt.Fprintf(w, "%s  %-8s %s%s\n", l.at.Format("15:04:05.000"), "+"+l.at.Sub(found[0].at).Round(time.Millisecond).String(), l.prefix, l.text())
	}
	return len(found), nil
}

func readLog(log io.Reader, id string) ([]logLine, error) {
	var found []logLine
	s := bufio.NewScanner(log)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		if !strings.Contains(s.Text(), id) {
			continue
		}
		if l, ok := parseLine(s.Text()); ok && (l.fields["job"] == id || l.fields["request"] == id) {
			found = append(found, l)
		}
	}
	return found, s.Err()
}

func parseLine(text string) (logLine, bool) {
	prefix, object, ok := strings.Cut(text, "{")
	if !ok {
		return logLine{}, false
	}
	l := logLine{prefix: prefix}
	if json.Unmarshal([]byte("{"+object), &l.fields) != nil {
		return logLine{}, false
	}
	timestamp, _ := l.fields["@timestamp"].(string)
	at, err := time.Parse(time.RFC3339Nano, timestamp)
	l.at = at
	return l, err == nil
}

// text returns the message, followed by the other fields in the order of their names.
func (l logLine) text() string {
	var names []string
	for name := range l.fields {
		if !strings.HasPrefix(name, "@") && name != "job" && name != "request" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var b strings.Builder
	fmt.Fprint(&b, l.fields["@message"])
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
	}
	return b.String()
}

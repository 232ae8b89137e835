package bwload

import (
	"fmt"
	"sort"
	"time"

	"basilwood.example/basilwood/bwreport"
	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxRecordedMicros          = int64(time.Minute / time.Microsecond)
	histogramSignificantDigits = 3
)

// ProfileReport summarizes the replies of one profile.
type ProfileReport struct {
	profile   string
	sent      int
	ran       int
	onTime    int
	notRun    int
	unknown   int
	failed    int
	histogram *hdrhistogram.Histogram
}

// Profile returns the profile's name.
func (p *ProfileReport) Profile() string { return p.profile }

// Sent returns the number of requests sent.
func (p *ProfileReport) Sent() int { return p.sent }

// OnTime returns the number of requests that ran within their deadline.
func (p *ProfileReport) OnTime() int { return p.onTime }

// NotRun returns the number of requests that were rejected without being run.
func (p *ProfileReport) NotRun() int { return p.notRun }

// Unknown returns the number of requests whose outcome is unknown.
func (p *ProfileReport) Unknown() int { return p.unknown }

// Failed returns the number of requests without an outcome, such as those without a reply.
func (p *ProfileReport) Failed() int { return p.failed }

// Ran returns the number of requests that ran.
func (p *ProfileReport) Ran() int { return p.ran }

// Latency returns the latency of the requests that ran at a quantile between 0 and 100.
func (p *ProfileReport) Latency(quantile float64) time.Duration {
	return time.Duration(p.histogram.ValueAtQuantile(quantile)) * time.Microsecond
}

// Reports summarizes the replies by profile, sorted by profile name.
func Reports(replies []Reply) []*ProfileReport {
	byProfile := make(map[string]*ProfileReport)
	for _, r := range replies {
		p := byProfile[r.profile]
		if p == nil {
			p = &ProfileReport{profile: r.profile, histogram: hdrhistogram.New(1, maxRecordedMicros, histogramSignificantDigits)}
			byProfile[r.profile] = p
		}
		p.add(r)
	}
	list := make([]*ProfileReport, 0, len(byProfile))
	for _, p := range byProfile {
		list = append(list, p)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].profile < list[j].profile })
	return list
}

func (p *ProfileReport) add(r Reply) {
	p.sent++
	switch r.outcome {
	case "ran":
		p.ran++
		if !r.isLate {
			p.onTime++
		}
		// Latencies above the histogram's range are recorded as its maximum.
		_ = p.histogram.RecordValue(min(r.latency.Microseconds(), maxRecordedMicros))
	case "notRun":
		p.notRun++
	case "unknown":
		p.unknown++
	default:
		p.failed++
	}
}

// Table formats the reports as a text table.
func Table(reports []*ProfileReport) string {
	rows := [][]string{{"PROFILE", "SENT", "RAN", "ON TIME", "NOT RUN", "UNKNOWN", "NO REPLY", "P50 MS", "P99 MS", "MAX MS"}}
	for _, p := range reports {
		rows = append(rows, []string{
			p.profile, fmt.Sprint(p.sent), fmt.Sprint(p.ran), fmt.Sprint(p.onTime), fmt.Sprint(p.notRun),
			fmt.Sprint(p.unknown), fmt.Sprint(p.failed),
			formatMillis(p.Latency(50)), formatMillis(p.Latency(99)), formatMillis(p.Latency(100)),
		})
	}
	return bwreport.Table(rows)
}

// Package bwload generates load against entries and checks that their replies are
// consistent.
//
// The load is open-loop: requests start at their scheduled times whether or not earlier
// ones have been answered, as independent callers do. Latencies are measured from the
// intended start. After the load, a check compares three independent records of each
// request: the reply that the caller received, the account that the entries keep, and the
// executions that the targets recorded.
package bwload

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Work describes one stream of requests.
type Work struct {
	Profile string
	Service string
	// Rate is the mean number of requests per second.
	Rate float64
	// Callers is the number of caller names over which the requests are spread.
	Callers int
	// Timeout is the timeout of each request; 0 uses the profile's.
	Timeout time.Duration
	// IsKeyed gives each request an idempotency key.
	IsKeyed bool
	// RepeatRatio is the fraction of requests that reuse the previous idempotency key.
	RepeatRatio float64
	// IsDirect sends the requests directly to the targets, bypassing the entries, as a
	// baseline for comparison.
	IsDirect bool
	// From is the start of the stream within the run, and For its duration; 0 continues to
	// the end of the run.
	From time.Duration
	For  time.Duration
}

const defaultCallers = 4

// ParseWork parses the description of a stream, such as
// profile=orders,service=orders,rate=100,callers=4,timeout=2s,keyed=true,repeat=0.05,from=2s,for=5s.
func ParseWork(s string) (Work, error) {
	w := Work{Callers: defaultCallers}
	for _, part := range strings.Split(s, ",") {
		name, value, ok := strings.Cut(part, "=")
		if !ok {
			return w, fmt.Errorf("work %q: %q is not of the form NAME=VALUE", s, part)
		}
		if err := w.set(name, value); err != nil {
			return w, fmt.Errorf("work %q: %s: %w", s, name, err)
		}
	}
	if w.Profile == "" || w.Service == "" || w.Rate <= 0 || w.Callers < 1 {
		return w, fmt.Errorf("work %q: profile, service, a positive rate and at least one caller are required", s)
	}
	return w, nil
}

func (w *Work) set(name, value string) error {
	var err error
	switch name {
	case "profile":
		w.Profile = value
	case "service":
		w.Service = value
	case "rate":
		w.Rate, err = strconv.ParseFloat(value, 64)
	case "callers":
		w.Callers, err = strconv.Atoi(value)
	case "timeout":
		w.Timeout, err = time.ParseDuration(value)
	case "keyed":
		w.IsKeyed, err = strconv.ParseBool(value)
	case "repeat":
		w.RepeatRatio, err = strconv.ParseFloat(value, 64)
	case "direct":
		w.IsDirect, err = strconv.ParseBool(value)
	case "from":
		w.From, err = time.ParseDuration(value)
	case "for":
		w.For, err = time.ParseDuration(value)
	default:
		err = fmt.Errorf("unknown field")
	}
	return err
}

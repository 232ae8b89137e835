// Package bwload offers load to entries and checks what they said about it.
//
// The load is open-loop: requests start at their own times whether or not earlier ones
// were answered, as callers do. Latencies run from the intended start. After the load a
// check compares three independent statements about each request: the reply that the
// caller got, the account that the entries keep, and the executions that the targets
// counted.
package bwload

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Work is one stream of requests.
type Work struct {
	Profile string
	Service string
	// Rate is the mean number of requests per second.
	Rate    float64
	Callers int
	// Timeout is the deadline of each request; 0 leaves it to the profile.
	Timeout time.Duration
	// IsKeyed gives each request an idempotency key.
	IsKeyed bool
	// RepeatRatio is the share of keyed requests that repeat the previous key.
	RepeatRatio float64
	// IsDirect sends the requests to the targets and past the entries, for comparison.
	IsDirect bool
	// From and For bound the stream within the run; a For of 0 lasts to its end.
	From time.Duration
	For  time.Duration
}

const defaultCallers = 4

// ParseWork reads a stream such as
// profile=orders,service=orders,rate=100,callers=4,timeout=2s,keyed=true,repeat=0.05,from=2s,for=5s.
func ParseWork(s string) (Work, error) {
	w := Work{Callers: defaultCallers}
	for _, part := range strings.Split(s, ",") {
		name, value, ok := strings.Cut(part, "=")
		if !ok {
			return w, fmt.Errorf("work %q: %q is not NAME=VALUE", s, part)
		}
		if err := w.set(name, value); err != nil {
			return w, fmt.Errorf("work %q: %s: %w", s, name, err)
		}
	}
	if w.Profile == "" || w.Service == "" || w.Rate <= 0 || w.Callers < 1 {
		return w, fmt.Errorf("work %q: needs profile, service and a positive rate", s)
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

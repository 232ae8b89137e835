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

// Stream describes one stream of requests.
type Stream struct {
	Profile string
	Service string
	// Rate is the mean number of requests per second.
	Rate float64
	// Callers is the number of caller names over which the requests are spread.
	Callers int
	// Timeout is the timeout of each request; 0 uses the profile's.
	Timeout time.Duration
	// HasIdempotencyKeys gives each request an idempotency key.
	HasIdempotencyKeys bool
	// KeyReuseRatio is the fraction of requests that reuse the previous idempotency key.
	KeyReuseRatio float64
	// IsDirect sends the requests directly to the targets, bypassing the entries, as a
	// baseline for comparison.
	IsDirect bool
	// StartOffset is the time between the start of the run and the start of the stream.
	StartOffset time.Duration
	// Duration is the length of the stream; 0 continues it to the end of the run.
	Duration time.Duration
}

const defaultCallers = 4

// ParseStream parses the description of a stream, such as
// profile=orders,service=orders,rate=100,callers=4,timeout=2s,keyed=true,repeat=0.05,from=2s,for=5s.
func ParseStream(text string) (Stream, error) {
	stream := Stream{Callers: defaultCallers}
	for _, part := range strings.Split(text, ",") {
		name, value, ok := strings.Cut(part, "=")
		if !ok {
			return stream, fmt.Errorf("work %q: %q is not of the form NAME=VALUE", text, part)
		}
		if err := stream.set(name, value); err != nil {
			return stream, fmt.Errorf("work %q: %s: %w", text, name, err)
		}
	}
	if stream.Profile == "" || stream.Service == "" || stream.Rate <= 0 || stream.Callers < 1 {
		return stream, fmt.Errorf("work %q: profile, service, a positive rate and at least one caller are required", text)
	}
	return stream, nil
}

func (s *Stream) set(name, value string) error {
	var err error
	switch name {
	case "profile":
		s.Profile = value
	case "service":
		s.Service = value
	case "rate":
		s.Rate, err = strconv.ParseFloat(value, 64)
	case "callers":
		s.Callers, err = strconv.Atoi(value)
	case "timeout":
		s.Timeout, err = time.ParseDuration(value)
	case "keyed":
		s.HasIdempotencyKeys, err = strconv.ParseBool(value)
	case "repeat":
		s.KeyReuseRatio, err = strconv.ParseFloat(value, 64)
	case "direct":
		s.IsDirect, err = strconv.ParseBool(value)
	case "from":
		s.StartOffset, err = time.ParseDuration(value)
	case "for":
		s.Duration, err = time.ParseDuration(value)
	default:
		err = fmt.Errorf("unknown field")
	}
	return err
}

// Package bwexecutor tracks the state of one executor for the scheduler.
//
// An executor runs tasks under a lease and reports which runs are in progress and which have
// ended. An order without a reply may still take effect later, so an Executor counts three
// kinds of runs against the capacity: those that run, those that may run because a start
// order had no reply, and those that are being stopped. Executor is a plain value without
// goroutines; the scheduler tells it what was ordered and what the executor reported.
package bwexecutor

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"basilwood.example/basilwood/bwjob"
)

// Registration is an executor's entry in the registry.
type Registration struct {
	ID string
	// Incarnation changes each time the executor restarts under the same ID.
	Incarnation int64
	Pool        string
	Address     string
	DataCentre  string
	// Rack is the rack of the executor's host.
	Rack       string
	Labels     []string
	Capacity   bwjob.Resources
	IsDraining bool
}

// maxCapacity is the maximum amount of one resource of an executor, so that the sums over a
// pool do not overflow.
const maxCapacity = 1 << 40

// Validate returns an error if no executor can have this registration. The error does not
// contain values of the registration, which may be large.
func (r Registration) Validate() error {
	switch {
	case !isPrintable(r.ID):
		return errors.New("ID is empty or has characters that are not printable ASCII")
	case r.Pool == "" || r.DataCentre == "":
		return errors.New("pool or data centre is missing")
	case r.Incarnation <= 0:
		return errors.New("incarnation is not positive")
	}
	if address, err := netip.ParseAddrPort(r.Address); err != nil || address.Port() == 0 {
		return errors.New("address is not an IP address with a port")
	}
	for _, amount := range []int64{r.Capacity.CPU, r.Capacity.MemoryMB, r.Capacity.Accelerators} {
		if amount < 0 || amount > maxCapacity {
			return fmt.Errorf("capacity is not between 0 and %d", int64(maxCapacity))
		}
	}
	return nil
}

// isPrintable reports whether s is not empty and can be the value of an HTTP header.
func isPrintable(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return s != ""
}

// HasLabel reports whether the executor has a label. Every executor has the empty label.
func (r Registration) HasLabel(label string) bool {
	return label == "" || slices.Contains(r.Labels, label)
}

// RunStatus is the status of one running task in an executor's report.
type RunStatus struct {
	Task       bwjob.TaskID
	Run        int
	Checkpoint string
	// Percent is the share of full speed at which the task works. It is below 100 while a
	// task starts up or is throttled.
	Percent int
	// Load is the tail latency in milliseconds for a latency-sensitive task, and the CPU use
	// in thousandths of a core for any other.
	Load int
}

// NumberedEnd is the end of a run with its sequence number in the executor's list.
type NumberedEnd struct {
	Number int64
	bwjob.End
}

// Report is an executor's list of its running runs and of its ended runs that are not yet
// acknowledged.
type Report struct {
	Incarnation int64
	Running     []RunStatus
	Ended       []NumberedEnd
}

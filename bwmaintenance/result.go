// Package bwmaintenance plans and orders two operations on hosts: maintenance, in waves that
// operators request, and moves between pools, which follow the pools' demand.
//
// A Planner decides what to do. A Coordinator, of which one is active for the whole fleet,
// keeps the Planner up to date and issues its orders to the platform.
package bwmaintenance

// Result is the outcome of an order to a host.
type Result int

// The results of orders to hosts.
const (
	// Unanswered means that the order may or may not have been executed.
	Unanswered Result = iota
	Accepted
	// Fenced means that the host has seen the fencing token of a newer coordinator.
	Fenced
	// Busy means that the host is not up or is being moved away.
	Busy
	// TooMany means that the platform accepts no further orders at present.
	TooMany
	Refused
	// NotEmpty means that the order was not sent, because the host's executor was not certain to
	// be empty.
	NotEmpty
)

// String returns the result in camel case.
func (r Result) String() string {
	return [...]string{"unanswered", "accepted", "fenced", "busy", "tooMany", "refused", "notEmpty"}[r]
}

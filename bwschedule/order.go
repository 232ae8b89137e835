package bwschedule

import (
	"basilwood.example/basilwood/bwjob"
)

// OrderKind is the action that an order asks for.
type OrderKind int

// The kinds of orders.
const (
	Start OrderKind = iota
	Stop
	Pace
)

// String returns the kind in lower case.
func (k OrderKind) String() string {
	return [...]string{"start", "stop", "pace"}[k]
}

// Order is one command to an executor.
type Order struct {
	Kind     OrderKind
	Executor string
	Task     bwjob.TaskID
	Run      int
	// Payload and Checkpoint are set for Start only.
	Payload    string
	Checkpoint string
	// Ticket is the policy service's authorization for a Start; empty if none is needed.
	Ticket string
	// Percent is the share of full speed that a Pace order sets.
	Percent int
}

// Result is the outcome of an order.
type Result int

// The results of orders.
const (
	// Unanswered means that no reply arrived; the order may take effect now or later.
	Unanswered Result = iota
	Accepted
	// NotSent means that the order never left the process.
	NotSent
	// Unhealthy means that the executor cannot handle orders now and has done nothing.
	Unhealthy
	// Fenced means that the executor has seen a newer owner's fencing token.
	Fenced
	// RunTooOld means that the executor has seen an equal or higher run number of the task.
	RunTooOld
	// LeaseExpired means that the order's lease had expired on the executor's clock.
	LeaseExpired
	// InsufficientCapacity means that the executor lacks free capacity for the task.
	InsufficientCapacity
	// TicketRefused means that the executor rejected the policy service's ticket.
	TicketRefused
	// OtherIncarnation means that the executor has restarted.
	OtherIncarnation
	// Invalid means that the executor rejected the order for another reason.
	Invalid
)

// String returns the result in camel case.
func (r Result) String() string {
	names := [...]string{"unanswered", "accepted", "notSent", "unhealthy", "fenced", "runTooOld",
		"leaseTooShort", "noRoom", "ticketRefused", "otherIncarnation", "invalid"}
	return names[r]
}

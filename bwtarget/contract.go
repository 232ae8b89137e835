package bwtarget

// The headers below are the contract between an entry and a target, as
// docs/TARGETS.md describes it.
const (
	// HeaderRequestID carries the request id; the target repeats it in its answer.
	HeaderRequestID = "Basilwood-Request-Id"
	// HeaderAttemptID carries the attempt id; the target repeats it in its answer.
	HeaderAttemptID = "Basilwood-Attempt-Id"
	// HeaderChecksum carries the xxhash64 of the body in hexadecimal.
	HeaderChecksum = "Basilwood-Checksum"
	// HeaderTimeout carries the time left as a Go duration.
	HeaderTimeout = "Basilwood-Timeout"
	// HeaderNotStarted says that the target did not start the request, and why.
	HeaderNotStarted = "Basilwood-Not-Started"
)

// The values of HeaderNotStarted.
const (
	NotStartedBusy     = "busy"
	NotStartedDraining = "draining"
)

package bwtarget

// The headers of the HTTP interface between entries and targets, which docs/TARGETS.md
// describes.
const (
	// HeaderRequestID carries the request id. The target returns it in its response.
	HeaderRequestID = "Basilwood-Request-Id"
	// HeaderAttemptID carries the attempt id. The target returns it in its response.
	HeaderAttemptID = "Basilwood-Attempt-Id"
	// HeaderChecksum carries the xxHash64 of the body in hexadecimal.
	HeaderChecksum = "Basilwood-Checksum"
	// HeaderTimeout carries the time left until the deadline, formatted as a Go duration.
	HeaderTimeout = "Basilwood-Timeout"
	// HeaderNotStarted carries the reason why the target did not start the request. It is
	// present only in that case.
	HeaderNotStarted = "Basilwood-Not-Started"
)

// The values of HeaderNotStarted.
const (
	NotStartedBusy     = "busy"
	NotStartedDraining = "draining"
)

package idempotency

import (
	"crypto/sha256"
	"net/http"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

// State is the state of an operation.
type State int

// The states of an operation.
const (
	// Running operations are claimed by an attempt whose deadline has not passed.
	Running State = iota + 1
	// Done operations ran, and their response is known.
	Done
	// NotRun operations were claimed by an attempt that provably did not run. They may be claimed again.
	NotRun
	// Unknown operations may have run.
	Unknown
)

// String implements fmt.Stringer.
func (s State) String() string {
	switch s {
	case Running:
		return "running"
	case Done:
		return "done"
	case NotRun:
		return "not run"
	case Unknown:
		return "unknown"
	default:
		return "invalid"
	}
}

// MaxStoredBody is the maximum size in bytes of a response body that is stored for a replay.
const MaxStoredBody = 64 << 10

// Fingerprint is the SHA-256 of the parts of a request that must be equal in its repeats: method, path and body.
type Fingerprint [sha256.Size]byte

// Operation is a request to run an operation once.
type Operation struct {
	Customer settings.CustomerID
	// ID is the caller's Idempotency-Key.
	ID          string
	Fingerprint Fingerprint
	// Deadline is the end of the attempt, on the clock of time.Now.
	Deadline time.Time
	// Claims is the place where the claim is kept. Default ClaimsInMemory.
	Claims settings.ClaimMode
	// TableSince is the wall time since which every host keeps the claims of the route in the table, if Claims is
	// ClaimsInTable. Older operations may have run without a row. Default the beginning of time.
	TableSince time.Time
}

// Result is the outcome of an attempt to run an operation.
type Result struct {
	// State is Done, NotRun or Unknown.
	State State
	// Status, Header, Trailer and Body are the response of a Done operation.
	Status  int
	Header  http.Header
	Trailer http.Header
	Body    []byte
	// BodyLost is true if the body of a Done operation was too large to be stored.
	BodyLost bool
}

// Claim is the result of Begin: either the operation is granted to this attempt, or it ran before.
type Claim struct {
	// Complete reports the result of a granted operation. It does not block and must be called exactly once. It is nil
	// if the operation is not granted.
	Complete func(Result)
	// Replay is the Done result of an earlier run, nil if the operation is granted.
	Replay *Result
}

package upstream

import "time"

// Fault is a way in which the stand-in misbehaves.
type Fault string

// The faults.
const (
	// Healthy serves normally.
	Healthy Fault = "healthy"
	// Slow multiplies the service time by SlowFactor.
	Slow Fault = "slow"
	// Hang accepts requests and never answers.
	Hang Fault = "hang"
	// SlowBody sends headers at once and the body byte by byte.
	SlowBody Fault = "slow-body"
	// HalfBody announces the whole length, sends half of the body and closes the connection.
	HalfBody Fault = "half-body"
	// Reset runs the request and resets the connection instead of answering.
	Reset Fault = "reset"
	// ResetBefore resets the connection without running the request.
	ResetBefore Fault = "reset-before"
	// ServerError answers 500 after running the request.
	ServerError Fault = "server-error"
	// HalfErrors answers 500 to every second request.
	HalfErrors Fault = "half-errors"
	// Shed answers 503 with Retry-After and does not run the request.
	Shed Fault = "shed"
	// Flap alternates between Healthy and ServerError every FlapPeriod.
	Flap Fault = "flap"
	// LyingHealth hangs on requests while the health endpoint says healthy and the load header says idle.
	LyingHealth Fault = "lying-health"
	// ForeignAnswer answers with another request's X-Request-Id, as a crossed answer.
	ForeignAnswer Fault = "foreign-answer"
	// Drain serves and announces that the upstream leaves.
	Drain Fault = "drain"
)

// Parameters of the faults.
const (
	SlowFactor = 10
	FlapPeriod = 3 * time.Second
)

// Faults lists all faults except Healthy.
func Faults() []Fault {
	return []Fault{
		Slow, Hang, SlowBody, HalfBody, Reset, ResetBefore, ServerError, HalfErrors, Shed, Flap, LyingHealth, ForeignAnswer,
		Drain,
	}
}

package upstream

import "time"

// Fault selects how the emulator misbehaves.
type Fault string

// The faults.
const (
	// Healthy serves normally.
	Healthy Fault = "healthy"
	// Slow multiplies the service time by SlowFactor.
	Slow Fault = "slow"
	// Hang accepts requests and never responds.
	Hang Fault = "hang"
	// SlowBody sends the headers at once and the body byte by byte, with a delay after each byte.
	SlowBody Fault = "slow-body"
	// HalfBody declares the complete Content-Length, sends half of the body and resets the connection.
	HalfBody Fault = "half-body"
	// Reset executes the request and resets the connection instead of responding.
	Reset Fault = "reset"
	// ResetBefore resets the connection without executing the request.
	ResetBefore Fault = "reset-before"
	// ServerError responds with status 500 after executing the request.
	ServerError Fault = "server-error"
	// HalfErrors responds with status 500 to each request with probability 1/2.
	HalfErrors Fault = "half-errors"
	// Shed responds with status 503 and Retry-After, and does not execute the request.
	Shed Fault = "shed"
	// Flap alternates between Healthy and ServerError every FlapPeriod.
	Flap Fault = "flap"
	// LyingHealth hangs on requests, while the health endpoint reports healthy and the load header reports no load.
	LyingHealth Fault = "lying-health"
	// ForeignAnswer sends the X-Request-Id of another request, as if responses had been crossed.
	ForeignAnswer Fault = "foreign-answer"
	// Drain serves normally and sends the header X-Draining on each response.
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

package breaker

// Sample classifies the result of an attempt with regard to the health of its upstream.
type Sample int

// Samples.
const (
	// Good is a complete response within the time limit.
	Good Sample = iota + 1
	// ErrorStatus is a response whose status indicates that the upstream failed.
	ErrorStatus
	// Broken is a connection reset, or a truncated or invalid response.
	Broken
	// Unreachable means that no connection could be obtained.
	Unreachable
	// Responded is a complete response that may be a failure of the upstream or the right response, such as status 404. It passes a
	// trial like Good, but it does not reduce the failure score: an upstream that fails fast would hide its other failures.
	Responded
)

// Additions to the failure score by sample. A breaker opens at a score of 1.
const (
	scoreErrorStatus = 0.6
	scoreBroken      = 1.0
	scoreUnreachable = 1.0
	// scoreUnreachableElsewhere is for a failed connection of another host. The cause may be the network path from that host.
	scoreUnreachableElsewhere = 0.4
)

func scoreOf(sample Sample) float64 {
	switch sample {
	case ErrorStatus:
		return scoreErrorStatus
	case Unreachable:
		return scoreUnreachable
	default:
		return scoreBroken
	}
}

// String implements fmt.Stringer.
func (s Sample) String() string {
	switch s {
	case Good:
		return "good"
	case ErrorStatus:
		return "error_status"
	case Broken:
		return "broken"
	case Unreachable:
		return "unreachable"
	case Responded:
		return "responded"
	default:
		return "invalid"
	}
}

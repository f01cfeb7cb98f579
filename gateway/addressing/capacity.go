package addressing

import "time"

// Resources are the resources of a host. A value of 0 means that it is not known.
type Resources struct {
	// ProcessorShare is the number of processors that the host may use.
	ProcessorShare float64
	// LinkMbps is the bandwidth of the link in Mbit/s.
	LinkMbps float64
	// BufferBytes is the memory for buffered requests and responses.
	BufferBytes float64
}

// Traffic holds the means of a request.
type Traffic struct {
	// ProcessorTime is the processor time that a request takes.
	ProcessorTime time.Duration
	// Bytes is what a request sends over the link in the direction that carries more.
	Bytes float64
	// HeldByteSeconds is the memory that a request and its response take, times the time for which they take it.
	HeldByteSeconds float64
}

// bytesPerMegabit converts a bandwidth in Mbit/s to bytes per second.
const bytesPerMegabit = 1e6 / 8

// Capacity returns the requests per second that a host can serve: the lowest rate that one of its known resources allows. It returns 0 if
// neither the processor share nor the bandwidth is known. Memory alone does not tell how many requests a host can serve.
func Capacity(r Resources, t Traffic) float64 {
	if r.ProcessorShare <= 0 && r.LinkMbps <= 0 {
		return 0
	}
	lowest := 0.0
	limit := func(resource, perRequest float64) {
		if resource <= 0 || perRequest <= 0 {
			return
		}
		if rate := resource / perRequest; lowest == 0 || rate < lowest {
			lowest = rate
		}
	}
	limit(r.ProcessorShare, t.ProcessorTime.Seconds())
	limit(r.LinkMbps*bytesPerMegabit, t.Bytes)
	limit(r.BufferBytes, t.HeldByteSeconds)
	return lowest
}

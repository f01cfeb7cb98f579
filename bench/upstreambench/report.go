package upstreambench

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
	"time"
)

// Report is the result of a run. Times are in seconds. A time of -1 means that the event did not occur within the 20 s
// that each trial lasts.
type Report struct {
	Deployment   string         `json:"deployment"`
	Hosts        int            `json:"hosts"`
	Seed         uint64         `json:"seed"`
	Trials       int            `json:"trials"`
	Detections   []Detection    `json:"detections"`
	Noise        []Noise        `json:"noise"`
	Availability []Availability `json:"sick_upstreams"`
	// Amplification is the number of attempts for each request while a whole service fails.
	Amplification float64 `json:"amplification"`
	// FloorCrossings is the number of checks in which all hosts together had ejected more upstreams than the budget
	// allows. One check is made at each tick of each host.
	FloorCrossings int              `json:"floor_crossings"`
	Balancers      []BalancerResult `json:"choices"`
}

// Detection is the time until all hosts have ejected an unhealthy upstream.
type Detection struct {
	Mode   Mode  `json:"mode"`
	Fault  Fault `json:"fault"`
	Trials int   `json:"trials"`
	// Detected counts the trials in which all hosts ejected the upstream, PartlyDetected those in which at least one did.
	Detected       int     `json:"detected"`
	PartlyDetected int     `json:"partly"`
	P50            float64 `json:"p50_s"`
	P99            float64 `json:"p99_s"`
}

// Noise is the result of a period in which all upstreams are healthy but noisy. Each ejection is a false one.
type Noise struct {
	Mode          Mode    `json:"mode"`
	Ejections     int     `json:"ejections"`
	UpstreamHours float64 `json:"upstream_hours"`
	Requests      int     `json:"requests"`
	NotInTime     int     `json:"not_in_time"`
}

// Availability is the share of requests answered within 1 s while some upstreams are unhealthy.
type Availability struct {
	Mode      Mode    `json:"mode"`
	Fault     Fault   `json:"fault"`
	Upstreams int     `json:"upstreams"`
	InTime    float64 `json:"in_time"`
}

// BalancerResult is the result of a load-balancing policy at high utilisation.
type BalancerResult struct {
	Policy string  `json:"policy"`
	P50    float64 `json:"p50_s"`
	P99    float64 `json:"p99_s"`
	InTime float64 `json:"in_time"`
}

// percentile returns the quantile q of n trials. Trials without a value count as larger than all values. It returns -1 s
// if the quantile falls on such a trial.
func percentile(values []time.Duration, q float64, n int) time.Duration {
	slices.Sort(values)
	i := int(math.Ceil(q*float64(n))) - 1
	if i < 0 || i >= len(values) {
		return -time.Second
	}
	return values[i]
}

func seconds(d time.Duration) float64 { return math.Round(d.Seconds()*1e4) / 1e4 }

func (r *Report) print(out io.Writer) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) }
	line("%s, %d hosts, seed %d, %d trials", r.Deployment, r.Hosts, r.Seed, r.Trials)
	line("\ndetection\tfault\tall hosts\tsome\tp50 s\tp99 s")
	for _, d := range r.Detections {
		line("%s\t%s\t%d\t%d\t%.2f\t%.2f", d.Mode, d.Fault, d.Detected, d.PartlyDetected, d.P50, d.P99)
	}
	line("\nhealthy, noisy\tejections\tupstream-hours\trequests\tnot in time")
	for _, n := range r.Noise {
		line("%s\t%d\t%.0f\t%d\t%d", n.Mode, n.Ejections, n.UpstreamHours, n.Requests, n.NotInTime)
	}
	line("\nin time\tfault\tsick\tshare")
	for _, s := range r.Availability {
		line("%s\t%s\t%d\t%.4f", s.Mode, s.Fault, s.Upstreams, s.InTime)
	}
	line("\nattempts per request, service sick\t%.3f", r.Amplification)
	line("floor crossings\t%d", r.FloorCrossings)
	line("\nutilisation 0.7\tp50 s\tp99 s\tin time")
	for _, c := range r.Balancers {
		line("%s\t%.4f\t%.4f\t%.4f", c.Policy, c.P50, c.P99, c.InTime)
	}
	_ = t.Flush()
}

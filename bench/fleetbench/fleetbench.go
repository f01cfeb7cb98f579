package fleetbench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bronzeyard/bronzeyard/emulator/deployment"
	"github.com/bronzeyard/bronzeyard/fleet/ratelimit"
)

// Deployment names a deployment of design section 1.2.
type Deployment string

// The deployments.
const (
	Merrimack Deployment = "merrimack"
	Daan      Deployment = "daan"
)

// Options configure a measurement.
type Options struct {
	// Deployment sets data centres, latencies and the default number of hosts.
	Deployment Deployment
	// Hosts is the number of hosts. Default: that of the deployment, 14 or 16.
	Hosts int
	// Seed determines the load.
	Seed uint64
	// Duration is the time of load per scenario. Default 30 s.
	Duration time.Duration
	// Scenario, if set, is the name of the only scenario to run.
	Scenario string
	// Output, if set, receives the report as JSON when all scenarios have run.
	Output io.Writer
}

// ScenarioReport is the result of one scenario.
type ScenarioReport struct {
	Scenario string `json:"scenario"`
	// Limiter is the result of the real limiter. FixedSplit and TableCounter are baselines under the same load.
	Limiter      Measures `json:"limiter"`
	FixedSplit   Measures `json:"fixed_split"`
	TableCounter Measures `json:"table_counter"`
	// MessagesPerHostSecond and BytesPerHostSecond count requests and responses between hosts, each at its sender.
	MessagesPerHostSecond float64 `json:"messages_per_host_second"`
	BytesPerHostSecond    float64 `json:"bytes_per_host_second"`
	// Targets in per cent, 0 if the scenario has none. The target for over-admissions is always 0.
	WrongfulTarget   float64 `json:"wrongful_target_percent,omitempty"`
	WorstShareTarget float64 `json:"worst_share_target_percent,omitempty"`
}

// Report is the result of a measurement.
type Report struct {
	Deployment Deployment       `json:"deployment"`
	Hosts      int              `json:"hosts"`
	Seed       uint64           `json:"seed"`
	Seconds    float64          `json:"seconds_per_scenario"`
	Scenarios  []ScenarioReport `json:"scenarios"`
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes a heading, then one block of lines per scenario.
func (r *Report) WriteText(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "%s, %d hosts, seed %d, %.0f s per scenario\n", r.Deployment, r.Hosts, r.Seed, r.Seconds); err != nil {
		return err
	}
	for i := range r.Scenarios {
		s := &r.Scenarios[i]
		if _, err := fmt.Fprintf(w, "%s: %.1f messages and %.0f bytes per host and second; targets wrongful < %v%%, worst share >= %v%%\n",
			s.Scenario, s.MessagesPerHostSecond, s.BytesPerHostSecond, s.WrongfulTarget, s.WorstShareTarget); err != nil {
			return err
		}
		for _, line := range []struct {
			name string
			m    *Measures
		}{{"limiter", &s.Limiter}, {"1/N split", &s.FixedSplit}, {"table counter", &s.TableCounter}} {
			if _, err := fmt.Fprintf(w, "  %-14s over-admitted %d (%.3f)  wrongful %.3f%% (overloaded customers %.3f%%)  worst share %.2f%%\n",
				line.name, line.m.OverAdmissions, line.m.MaxExcess, line.m.WrongfulPercent, line.m.WrongfulOverloadPercent,
				line.m.WorstSharePercent); err != nil {
				return err
			}
		}
		if err := s.Limiter.writeCustomers(w); err != nil {
			return err
		}
	}
	return nil
}

// Run measures the scenarios one after the other. It returns an error if the options name an unknown deployment or
// scenario, if the context ends, or if the output cannot be written.
func Run(ctx context.Context, options Options) (Report, error) {
	d, err := deployment.ByName(string(options.Deployment))
	if err != nil {
		return Report{}, err
	}
	if options.Hosts <= 0 {
		options.Hosts = d.Hosts
	}
	if options.Duration <= 0 {
		options.Duration = 30 * time.Second
	}
	report := Report{Deployment: options.Deployment, Hosts: options.Hosts, Seed: options.Seed, Seconds: options.Duration.Seconds()}
	for i := range scenarios {
		if options.Scenario != "" && options.Scenario != scenarios[i].name {
			continue
		}
		result, err := runScenario(ctx, &scenarios[i], d, options)
		if err != nil {
			return report, err
		}
		report.Scenarios = append(report.Scenarios, result)
	}
	if len(report.Scenarios) == 0 {
		return report, fmt.Errorf("scenario %q does not exist", options.Scenario)
	}
	if options.Output != nil {
		return report, report.WriteJSON(options.Output)
	}
	return report, nil
}

// isOverloaded reports whether the customer offers five times its rate. The largest customer, with index 0, never does.
func (s *scenario) isOverloaded(customer int) bool {
	return customer >= 1 && customer <= s.overloadedCount
}

func runScenario(ctx context.Context, s *scenario, d *deployment.Deployment, options Options) (ScenarioReport, error) {
	c := newCluster(d, options.Hosts, customers)
	r := &run{
		scenario: s, deployment: d, duration: options.Duration, lostAt: options.Duration / 3,
		epoch:  c.hosts[0].view.Load().Epoch,
		random: rand.New(rand.NewPCG(options.Seed, 1)), //nolint:gosec // reproducible load, no secret
	}
	if s.lostHosts != nil {
		r.lostHosts = s.lostHosts(r)
	}
	arrivals := r.arrivals()
	outcomes, err := r.offerLoad(ctx, c, arrivals)
	if err != nil {
		return ScenarioReport{}, err
	}
	result := ScenarioReport{
		Scenario: s.name, WrongfulTarget: s.wrongfulTarget, WorstShareTarget: s.worstShareTarget,
		Limiter:               measure(outcomes, s.isOverloaded),
		FixedSplit:            r.replay(arrivals, r.fixedSplit()),
		TableCounter:          r.replay(arrivals, r.tableCounter()),
		MessagesPerHostSecond: float64(c.messages.Load()) / float64(options.Hosts) / r.duration.Seconds(),
		BytesPerHostSecond:    float64(c.bytes.Load()) / float64(options.Hosts) / r.duration.Seconds(),
	}
	result.Limiter.countOverAdmissions(c.admissions)
	return result, nil
}

// offerLoad sends the load to the limiters and returns the outcomes.
func (r *run) offerLoad(ctx context.Context, c *cluster, arrivals []arrival) ([]outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	var background, requests sync.WaitGroup
	defer background.Wait()
	defer cancel()
	for _, h := range c.hosts {
		background.Go(func() { h.limiter.Run(ctx) })
	}
	start := time.Now()
	if r.lostHosts != nil {
		background.Go(func() {
			if sleep(ctx, r.lostAt) {
				c.stopHosts(ctx, r.lostHosts, r.scenario.tableDown, rand.New(rand.NewPCG(2, 2))) //nolint:gosec // reproducible order, no secret
			}
		})
	}
	outcomes := make([]outcome, len(arrivals))
	for i, a := range arrivals {
		if wait := a.at - time.Since(start); wait > 0 && !sleep(ctx, wait) {
			break
		}
		requests.Go(func() { outcomes[i] = c.admit(ctx, start, a) })
	}
	requests.Wait()
	return outcomes, ctx.Err()
}

func (c *cluster) admit(ctx context.Context, start time.Time, a arrival) outcome {
	decision := c.hosts[a.host].limiter.Admit(ctx, customers[a.customer].name)
	return outcome{
		customer: a.customer, arrivedAt: a.at, decidedAt: time.Since(start), allowed: decision.Reason == ratelimit.Allowed,
	}
}

package bench

import (
	"context"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/bronzeyard/bronzeyard/bench/bounds"
	"github.com/bronzeyard/bronzeyard/bench/capacitybench"
	"github.com/bronzeyard/bronzeyard/bench/fleetbench"
	"github.com/bronzeyard/bronzeyard/bench/latencybench"
	"github.com/bronzeyard/bronzeyard/bench/processbench"
	"github.com/bronzeyard/bronzeyard/bench/upstreambench"
	"github.com/bronzeyard/bronzeyard/emulator/deployment"
	"github.com/bronzeyard/bronzeyard/platform/platformtest/memorybench"
)

func (c *Command) upstreams(ctx context.Context) ([]bounds.Figure, any, error) {
	report, err := upstreambench.Run(ctx, upstreambench.Options{
		Deployment: c.deployment, Hosts: c.hosts, Seed: c.seed, Out: c.out,
	})
	return upstreamFigures(&report), report, err
}

// upstreamFigures uses the worst kind of fault. Shed load and cold starts are left out: such an upstream is healthy.
func upstreamFigures(report *upstreambench.Report) []bounds.Figure {
	detection := bounds.Figure{Name: "detection p99", Baselines: make(map[string]float64)}
	undetected := bounds.Figure{Name: "undetected faults"}
	for _, d := range report.Detections {
		if d.Fault == upstreambench.Shedding || d.Fault == upstreambench.ColdStart {
			continue
		}
		if d.Mode == upstreambench.FleetWide {
			detection.Value = max(detection.Value, d.P99)
			undetected.Value += float64(d.Trials - d.Detected)
		}
	}
	falseEjections := bounds.Figure{Name: "false ejections in an hour", Baselines: make(map[string]float64)}
	for _, n := range report.Noise {
		if n.Mode == upstreambench.FleetWide {
			falseEjections.Value = float64(n.Ejections)
		} else {
			falseEjections.Baselines[string(n.Mode)] = float64(n.Ejections)
		}
	}
	return []bounds.Figure{
		detection, undetected, falseEjections,
		{Name: "floor crossings", Value: float64(report.FloorCrossings)},
		{Name: "amplification with a sick service", Value: report.Amplification},
	}
}

func (c *Command) fleet(ctx context.Context) ([]bounds.Figure, any, error) {
	const defaultDuration = 30 * time.Second
	duration := c.duration
	if duration == 0 {
		duration = defaultDuration
	}
	report, err := fleetbench.Run(ctx, fleetbench.Options{
		Deployment: fleetbench.Deployment(c.deployment), Hosts: c.hosts, Seed: c.seed, Duration: duration,
	})
	return fleetFigures(&report), report, err
}

// fleetFigures uses the worst scenario of each kind.
func fleetFigures(report *fleetbench.Report) []bounds.Figure {
	overAdmissions := bounds.Figure{Name: "over-admissions", Baselines: make(map[string]float64)}
	steadyRejections := bounds.Figure{Name: "wrongful refusals, steady", Baselines: make(map[string]float64)}
	lossRejections := bounds.Figure{Name: "wrongful refusals, loss of a host", Baselines: make(map[string]float64)}
	steadyShare := bounds.Figure{Name: "worst share, steady", Value: 100, Baselines: make(map[string]float64)}
	overloadShare := bounds.Figure{
		Name: "worst share, two customers at five times their rate", Value: 100, Baselines: make(map[string]float64),
	}
	for i := range report.Scenarios {
		s := &report.Scenarios[i]
		overAdmissions.Value += float64(s.Limiter.OverAdmissions)
		switch {
		case strings.HasPrefix(s.Scenario, "two customers"):
			aggregate(&overloadShare, s, math.Min, fleetbench.WorstShare)
		case strings.HasPrefix(s.Scenario, "loss of a data centre"), s.Scenario == "moving":
		case strings.HasPrefix(s.Scenario, "loss"):
			aggregate(&lossRejections, s, math.Max, fleetbench.WrongfulRejections)
		default:
			aggregate(&steadyRejections, s, math.Max, fleetbench.WrongfulRejections)
			aggregate(&steadyShare, s, math.Min, fleetbench.WorstShare)
		}
	}
	return []bounds.Figure{overAdmissions, steadyRejections, lossRejections, steadyShare, overloadShare}
}

const (
	fixedSplit   = "fixed 1/N split"
	tableCounter = "table counter"
)

// aggregate folds a scenario's values into a figure and its baselines.
func aggregate(
	figure *bounds.Figure, s *fleetbench.ScenarioReport, fold func(a, b float64) float64,
	value func(*fleetbench.Measures) float64,
) {
	figure.Value = fold(figure.Value, value(&s.Limiter))
	for name, measures := range map[string]*fleetbench.Measures{fixedSplit: &s.FixedSplit, tableCounter: &s.TableCounter} {
		if previous, ok := figure.Baselines[name]; ok {
			figure.Baselines[name] = fold(previous, value(measures))
		} else {
			figure.Baselines[name] = value(measures)
		}
	}
}

func (c *Command) latency(ctx context.Context) ([]bounds.Figure, any, error) {
	d, err := deployment.ByName(c.deployment)
	if err != nil {
		return nil, nil, err
	}
	report, err := latencybench.Run(ctx, latencybench.Options{Deployment: d, Duration: c.duration, Seed: c.seed})
	figures := []bounds.Figure{
		{Name: "added latency p50", Value: report.Added.P50},
		{Name: "added latency p99", Value: report.Added.P99},
		{Name: "added latency p99.9", Value: report.Added.P999},
		{Name: "failed lookups", Value: float64(report.Failed)},
	}
	return figures, report, err
}

func (c *Command) capacity(ctx context.Context) ([]bounds.Figure, any, error) {
	d, err := deployment.ByName(c.deployment)
	if err != nil {
		return nil, nil, err
	}
	report, err := capacitybench.Run(ctx, capacitybench.Options{Deployment: d, Duration: c.duration})
	var figures []bounds.Figure
	for _, point := range report.Points {
		at := fmt.Sprintf(" at %d hosts", point.Hosts)
		figures = append(figures,
			bounds.Figure{Name: "processor" + at, Value: point.ProcessorPercent},
			bounds.Figure{Name: "peer traffic" + at, Value: point.PeerBytes},
			bounds.Figure{Name: "heap" + at, Value: point.HeapKiB})
	}
	return figures, report, err
}

func (c *Command) processes(ctx context.Context) ([]bounds.Figure, any, error) {
	d, err := deployment.ByName(c.deployment)
	if err != nil {
		return nil, nil, err
	}
	binary, err := c.findBinary()
	if err != nil {
		return nil, nil, err
	}
	report, err := processbench.Run(ctx, processbench.Options{
		Binary: binary, Deployment: d, Hosts: c.hosts, Seed: c.seed, PhaseLength: c.duration,
		Progress: func(phase string) { _, _ = fmt.Fprintln(c.log, "phase:", phase) },
	})
	return report.Figures(), report, err
}

func (c *Command) memory(ctx context.Context) ([]bounds.Figure, any, error) {
	binary, err := c.findBinary()
	if err != nil {
		return nil, nil, err
	}
	var results []memorybench.Result
	for _, played := range memorybench.Cases() {
		result, err := memorybench.Run(ctx, memorybench.Options{
			Binary: binary, MemoryMB: c.memoryMB, Callers: c.callers, Duration: c.duration,
		}, played)
		if err != nil {
			return nil, results, fmt.Errorf("%s: %w", played.Name, err)
		}
		results = append(results, result)
		_, _ = fmt.Fprintf(c.out, "%-40s idle %d MiB, peak %d MiB, ended %v; sound service: %d responses before, %d and %d failures beside it; %v\n",
			result.Case, result.IdleBytes>>20, result.PeakBytes>>20, result.Ended, result.Before.SoundServed, result.During.SoundServed,
			result.During.SoundFailed, result.During.Statuses)
	}
	return nil, results, nil
}

func (c *Command) findBinary() (string, error) {
	binary := c.binary
	if binary == "" {
		executable, err := os.Executable()
		if err != nil {
			return "", err
		}
		binary = filepath.Join(filepath.Dir(executable), "bronzeyard")
	}
	if _, err := os.Stat(binary); err != nil {
		return "", fmt.Errorf("the program bronzeyard is not found; build it and name it with --binary: %w", err)
	}
	return binary, nil
}

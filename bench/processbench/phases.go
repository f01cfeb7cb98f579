package processbench

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/bronzeyard/bronzeyard/emulator/load"
	"github.com/bronzeyard/bronzeyard/emulator/local"
	"github.com/bronzeyard/bronzeyard/emulator/upstream"
	"github.com/bronzeyard/bronzeyard/settings"
)

// restartBatchSize is the number of hosts that are restarted at a time during the rolling restart.
const restartBatchSize = 3

// lostFraction is the fraction of the hosts that are killed simultaneously.
const lostFraction = 1.0 / 3

// Names of figures that have targets.
const (
	figureProcessor   = "processor_percent_of_a_core_per_host"
	figureActivation  = "in_force_longest_s"
	figureKeyAccepted = "last_accepted_after_s"
	figureExcluded    = "excluded_after_s"
	figureLeaving     = "work_after_leaving_s"
	figureDraining    = "work_after_drain_sign_s"
)

func (b *bench) runPhases(ctx context.Context) error {
	phases := []struct {
		name string
		run  func(ctx context.Context, figures map[string]float64) error
	}{
		{phaseIdle, b.measureIdle},
		{"steady", b.runSteady},
		{"one upstream hangs, another is slow", b.greyUpstreams},
		{phaseRestart, b.rollingRestart},
		{phaseSettings, b.changeSettings},
		{phaseLeaving, b.leaveUpstreams},
		{phaseKey, b.withdrawKey},
		{phaseOutage, b.tableOutage},
		{phaseLoss, b.loseHosts},
		{"steady after the faults", b.runSteady},
	}
	for _, phase := range phases {
		b.options.Progress(phase.name)
		if err := b.runPhase(ctx, phase.name, phase.run); err != nil {
			return fmt.Errorf("phase %q: %w", phase.name, err)
		}
	}
	return nil
}

// runPhase runs a phase under load and adds its result to the report. The idle phase has no load.
func (b *bench) runPhase(
	ctx context.Context, name string, run func(context.Context, map[string]float64) error,
) error {
	phase := Phase{Name: name, Figures: make(map[string]float64)}
	before := len(b.records())
	start := time.Now()
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	loadDone := make(chan []load.Response, 1)
	go func() {
		if name == phaseIdle {
			loadDone <- nil
			return
		}
		responses, _ := load.Run(loadCtx, b.loadOptions(uint64(len(b.report.Phases))))
		loadDone <- responses
	}()
	err := run(ctx, phase.Figures)
	stop()
	responses := <-loadDone
	phase.Seconds = time.Since(start).Seconds()
	phase.Load = load.Check(responses, b.records()[before:], b.keys())
	b.responses = append(b.responses, responses...)
	b.report.Phases = append(b.report.Phases, phase)
	return err
}

func (b *bench) loadOptions(phase uint64) load.Options {
	const maxPhaseDuration = 10 * time.Minute
	return load.Options{
		Bootstrap: b.bootstrap(), Customers: b.customers, Routes: b.routes(), RepeatShare: repeatShare,
		Duration: maxPhaseDuration, Seed: b.options.Seed + phase,
	}
}

func (b *bench) routes() []load.Route {
	var routes []load.Route
	for _, s := range b.options.Deployment.Services {
		routes = append(routes, load.Route{
			Method: s.Method, Path: "/" + s.Name + "/item", Share: s.Share, Idempotent: s.Idempotent,
		})
	}
	return routes
}

// measureIdle measures processor time and resident memory of the hosts without traffic.
func (b *bench) measureIdle(ctx context.Context, figures map[string]float64) error {
	before, err := b.readUsages()
	if err != nil {
		return err
	}
	start := time.Now()
	sleep(ctx, b.options.PhaseLength)
	after, err := b.readUsages()
	if err != nil {
		return err
	}
	elapsed := time.Since(start)
	var processor time.Duration
	var resident, largest int64
	for i := range after {
		processor += after[i].processorTime - before[i].processorTime
		resident += after[i].residentBytes
		largest = max(largest, after[i].residentBytes)
	}
	hosts := float64(len(after))
	figures[figureProcessor] = 100 * processor.Seconds() / elapsed.Seconds() / hosts
	figures["resident_mean_mib"] = float64(resident) / hosts / (1 << 20)
	figures["resident_largest_mib"] = float64(largest) / (1 << 20)
	return ctx.Err()
}

func (b *bench) readUsages() ([]usage, error) {
	var all []usage
	for _, p := range b.processes {
		u, err := p.readUsage()
		if err != nil {
			return nil, err
		}
		all = append(all, u)
	}
	return all, nil
}

func (b *bench) runSteady(ctx context.Context, _ map[string]float64) error {
	sleep(ctx, b.options.PhaseLength)
	return ctx.Err()
}

// greyUpstreams makes two upstreams of different services fail grey for the length of a phase: one hangs, the other is
// slow. The health endpoints of both report healthy.
func (b *bench) greyUpstreams(ctx context.Context, _ map[string]float64) error {
	services := b.options.Deployment.Services
	hanging, slow := b.upstreams[services[0].Name][0], b.upstreams[services[len(services)-1].Name][0]
	hanging.SetFault(upstream.LyingHealth)
	slow.SetFault(upstream.Slow)
	defer hanging.SetFault(upstream.Healthy)
	defer slow.SetFault(upstream.Healthy)
	sleep(ctx, b.options.PhaseLength)
	return ctx.Err()
}

func (b *bench) rollingRestart(ctx context.Context, figures map[string]float64) error {
	start := time.Now()
	for first := 0; first < len(b.processes); first += restartBatchSize {
		batch := b.processes[first:min(first+restartBatchSize, len(b.processes))]
		if err := b.restart(ctx, batch); err != nil {
			return err
		}
	}
	figures["duration_s"] = time.Since(start).Seconds()
	return nil
}

// restart stops the processes gracefully, starts new ones in their place and waits until they are ready.
func (b *bench) restart(ctx context.Context, batch []*process) error {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	stopped := make(chan error, len(batch))
	for _, p := range batch {
		go func() { stopped <- p.stop(ctx) }()
	}
	var errs []error
	for range batch {
		errs = append(errs, <-stopped)
	}
	if err := errors.Join(errs...); err != nil {
		return err
	}
	for i := range batch {
		p, err := startProcess(b.options.Binary, b.dir, batch[i].config)
		if err != nil {
			return err
		}
		batch[i] = p
	}
	return b.waitReady(ctx, batch)
}

// changeSettings makes changes one after the other. It measures the time until each is active on all hosts.
func (b *bench) changeSettings(ctx context.Context, figures map[string]float64) error {
	const changes = 20
	var total, maxActivation time.Duration
	for i := range changes {
		start := time.Now()
		edit := settings.Edit{Op: settings.Set, Path: "policy/timeout", Value: fmt.Appendf(nil, `"%dms"`, 5000+i)}
		if err := b.postChange(ctx, editsPath, map[string]any{"edits": []settings.Edit{edit}}); err != nil {
			return err
		}
		activation := time.Since(start)
		total += activation
		maxActivation = max(maxActivation, activation)
	}
	figures["in_force_mean_s"] = (total / changes).Seconds()
	figures[figureActivation] = maxActivation.Seconds()
	return nil
}

// leaveUpstreams marks one upstream as leaving in the settings and makes another one send its drain sign. It measures for
// how long each of them still receives requests.
func (b *bench) leaveUpstreams(ctx context.Context, figures map[string]float64) error {
	services := b.options.Deployment.Services
	marked, draining := b.upstreams[services[0].Name][1], b.upstreams[services[len(services)-1].Name][1]
	start := time.Now()
	path := "services/" + services[0].Name + "/upstreams/" + marked.ID() + "/leaving"
	edit := settings.Edit{Op: settings.Set, Path: path, Value: []byte("true")}
	if err := b.postChange(ctx, editsPath, map[string]any{"edits": []settings.Edit{edit}}); err != nil {
		return err
	}
	draining.SetFault(upstream.Drain)
	defer draining.SetFault(upstream.Healthy)
	drainStart := time.Now()
	lastMarked, lastDraining := start, drainStart
	const observation = 6 * time.Second
	for counts := [2]int64{marked.Received(), draining.Received()}; time.Since(drainStart) < observation && ctx.Err() == nil; {
		sleep(ctx, 10*time.Millisecond)
		now := [2]int64{marked.Received(), draining.Received()}
		if now[0] != counts[0] {
			lastMarked = time.Now()
		}
		if now[1] != counts[1] {
			lastDraining = time.Now()
		}
		counts = now
	}
	figures[figureLeaving] = lastMarked.Sub(start).Seconds()
	figures[figureDraining] = lastDraining.Sub(drainStart).Seconds()
	return ctx.Err()
}

// withdrawKey withdraws a key and measures for how long any host still accepts it.
func (b *bench) withdrawKey(ctx context.Context, figures map[string]float64) error {
	customer := b.options.Deployment.Customers[len(b.options.Deployment.Customers)-1].Name
	route := "/" + b.options.Deployment.Services[0].Name + "/item"
	const observation = 5 * time.Second
	observeCtx, cancel := context.WithTimeout(ctx, observation)
	defer cancel()
	accepted := make(chan time.Time, len(b.processes))
	for _, p := range b.processes {
		go func() {
			accepted <- lastAccepted(observeCtx, "http://"+p.config.Caller.Listen+route, local.Key(customer))
		}()
	}
	start := time.Now()
	path := fmt.Sprintf(withdrawPath, customer, "first")
	if err := b.postChange(ctx, path, map[string]any{}); err != nil {
		return err
	}
	figures["answered_after_s"] = time.Since(start).Seconds()
	var last time.Time
	for range b.processes {
		if at := <-accepted; at.After(last) {
			last = at
		}
	}
	figures[figureKeyAccepted] = max(0, last.Sub(start).Seconds())
	return nil
}

// lastAccepted sends requests with the key until ctx ends. It returns the start of the last one that the host accepted.
func lastAccepted(ctx context.Context, url, key string) time.Time {
	var last time.Time
	for ctx.Err() == nil {
		start := time.Now()
		resp, err := get(ctx, url, key)
		if err == nil && resp.StatusCode == http.StatusOK {
			last = start
		}
		sleep(ctx, 20*time.Millisecond)
	}
	return last
}

func (b *bench) tableOutage(ctx context.Context, _ map[string]float64) error {
	b.platform.Table.Faults.SetDown(true)
	b.platform.Objects.Faults.SetDown(true)
	defer b.platform.Objects.Faults.SetDown(false)
	defer b.platform.Table.Faults.SetDown(false)
	sleep(ctx, 2*b.options.PhaseLength)
	return ctx.Err()
}

// loseHosts kills a third of the hosts and measures the time until they are excluded.
func (b *bench) loseHosts(ctx context.Context, figures map[string]float64) error {
	sleep(ctx, b.options.PhaseLength/3)
	lost := int(float64(len(b.processes)) * lostFraction)
	start := time.Now()
	for range lost {
		last := len(b.processes) - 1
		if err := b.processes[last].kill(); err != nil {
			return err
		}
		b.processes = b.processes[:last]
	}
	if err := b.waitMemberCount(ctx, len(b.processes)); err != nil {
		return err
	}
	figures["hosts_lost"] = float64(lost)
	figures[figureExcluded] = time.Since(start).Seconds()
	sleep(ctx, b.options.PhaseLength)
	return ctx.Err()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

package gateway

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/bronzeyard/bronzeyard/gateway/pipeline"
	"github.com/bronzeyard/bronzeyard/gateway/registry"
	"github.com/bronzeyard/bronzeyard/gateway/relay"
	"github.com/bronzeyard/bronzeyard/gateway/signals"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/requestid"
)

// Limits of the lines that a host logs about requests, per second. Failures and rejections have their own limit, because
// successes must never displace them.
const (
	maxSuccessLines       = 100
	maxFailureLines       = 400
	skippedReportInterval = 5 * time.Second
)

// decisionLog writes one line for each decision on a request, within a rate limit. It never blocks, because the logger's writer
// drops lines when its buffer is full.
type decisionLog struct {
	logger    zerolog.Logger
	successes *rate.Limiter
	failures  *rate.Limiter
	skipped   atomic.Int64
}

func newDecisionLog(logger zerolog.Logger) *decisionLog {
	return &decisionLog{
		logger: logger, successes: rate.NewLimiter(maxSuccessLines, maxSuccessLines),
		failures: rate.NewLimiter(maxFailureLines, maxFailureLines),
	}
}

// request logs a finished request.
func (d *decisionLog) request(e *relay.Event) {
	budget := d.failures
	if e.Status < 400 {
		budget = d.successes
	}
	if !budget.Allow() {
		d.skipped.Add(1)
		return
	}
	line := d.logger.Info().Str("event", "request").Str("id", requestid.ForLog(e.RequestID)).Str("route", e.Route).
		Str("service", string(e.Service)).Str("customer", string(e.Customer)).Int("status", e.Status).
		Dur("total_ms", e.Total).Dur("limit_ms", e.TimeLimit).
		Uint64("configuration", e.Settings).Uint64("route_since", e.RouteSince).Dur("configuration_age_ms", e.SettingsAge)
	if e.Kind != "" {
		line = line.Str("error", string(e.Kind)).Dur("retry_after_ms", e.RetryAfter)
	}
	if e.Cause != nil {
		line = line.Str("cause", causeText(e.Cause))
	}
	if e.CallerGone {
		line = line.Bool("caller_gone", true)
	}
	if e.LiveHosts > 0 {
		line = line.Float64("tokens", e.Tokens).Int("hosts_heard", e.LiveHosts)
	}
	if e.HedgeRefused != "" {
		line = line.Str("hedge_refused", string(e.HedgeRefused))
	}
	line.Array("attempts", attempts(e.Attempts)).Send()
}

// maxCauseBytes is the maximum length of the text of an error in a line, in bytes. Errors may quote a header of a caller or of an upstream.
const maxCauseBytes = 512

// causeText returns the beginning of the text of an error.
func causeText(err error) string {
	text := err.Error()
	return strings.ToValidUTF8(text[:min(len(text), maxCauseBytes)], "")
}

// rejected logs a request that was not read completely. buffered is the size of the bodies and headers in the memory budget.
func (d *decisionLog) rejected(id string, reason pipeline.Rejection, status int, buffered int64) {
	if !d.failures.Allow() {
		d.skipped.Add(1)
		return
	}
	d.logger.Info().Str("event", "request_rejected").Str("id", requestid.ForLog(id)).Stringer("reason", reason).Int("status", status).
		Int64("buffered_bytes", buffered).Send()
}

// lateWriteThreshold is the time from the return of a response by the handler to the write of its last byte from which the write
// counts as late. Earlier responses on the connection, or the connection itself, delayed it.
const lateWriteThreshold = 100 * time.Millisecond

// responseWritten logs a response that was written late or not at all.
func (d *decisionLog) responseWritten(id string, after time.Duration, err error) {
	if after < lateWriteThreshold && err == nil {
		return
	}
	if !d.failures.Allow() {
		d.skipped.Add(1)
		return
	}
	d.logger.Info().Str("event", "answer_late").Str("id", requestid.ForLog(id)).Dur("after_ms", after).AnErr("error", err).Send()
}

// loopDelayed logs that the process, or its control loop, did not run for some time.
func (d *decisionLog) loopDelayed(by time.Duration) {
	d.logger.Warn().Str("event", "process_late").Dur("late_ms", by).Send()
}

// attempts logs the attempts of a request.
type attempts []relay.AttemptEvent

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (a attempts) MarshalZerologArray(array *zerolog.Array) {
	for i := range a {
		array.Object(attempt(a[i]))
	}
}

type attempt relay.AttemptEvent

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (a attempt) MarshalZerologObject(e *zerolog.Event) {
	e.Str("upstream", string(a.Upstream)).Str("address", a.Address).Str("data_centre", a.DataCentre).
		Str("outcome", a.Outcome.String()).Dur("took_ms", a.Took).
		Float64("load", a.Load).Dur("registry_age_ms", a.RegistryAge)
	if a.Status != 0 {
		e.Int("status", a.Status)
	}
	if a.Trial {
		e.Bool("trial", true)
	}
	if a.Floor {
		e.Bool("floor", true)
	}
	if a.Hedge {
		e.Bool("hedge", true)
	}
	if a.Reused {
		e.Bool("reused", true)
	}
	if a.Connection.Number != 0 {
		e.Uint64("connection", a.Connection.Number).Int64("connection_requests", a.Connection.Requests)
	}
	if a.Dispatcher != "" {
		e.Str("dispatcher", a.Dispatcher).Dur("dispatch_wait_ms", a.DispatchWait)
	}
	if a.Fallback != "" {
		e.Str("fallback", a.Fallback)
	}
	if a.Cause != nil {
		e.Str("cause", causeText(a.Cause))
	}
}

// breakerChanged logs that the breaker of an upstream has opened or closed. from is the host that observed the cause, empty for
// this one.
func (d *decisionLog) breakerChanged(id settings.UpstreamID, open bool, cause, from string) {
	line := d.logger.Info().Str("upstream", string(id))
	if open {
		line = line.Str("event", "breaker_open").Str("sample", cause)
	} else {
		line = line.Str("event", "breaker_closed")
	}
	if from != "" {
		line = line.Str("from", from)
	}
	line.Send()
}

// upstreamSignals logs what an upstream has asked of this host in a response.
func (d *decisionLog) upstreamSignals(id settings.UpstreamID, signal signals.Signal) {
	if signal.Leaving {
		d.logger.Info().Str("event", "upstream_states_leaving").Str("upstream", string(id)).Int64("incarnation", signal.Incarnation).Send()
	}
	if signal.Backoff > 0 {
		d.logger.Info().Str("event", "upstream_backoff").Str("upstream", string(id)).Int64("incarnation", signal.Incarnation).
			Dur("for_ms", signal.Backoff).Send()
	}
}

// upstreamMisdirected logs that an upstream is taken out of use because another one has responded at its address. It happens once for
// each process of an upstream.
func (d *decisionLog) upstreamMisdirected(upstream *settings.Upstream) {
	d.logger.Info().Str("event", "upstream").Str("upstream", string(upstream.ID)).Str("change", string(registry.Misdirected)).
		Str("address", upstream.Address).Int64("incarnation", upstream.Incarnation).Send()
}

// upstreamCold logs that an upstream is warming up for some time, or no longer if that is 0. from is the host that has read it, empty for
// this one.
func (d *decisionLog) upstreamCold(id settings.UpstreamID, left time.Duration, from string) {
	if !d.failures.Allow() {
		d.skipped.Add(1)
		return
	}
	line := d.logger.Info().Str("event", "upstream_cold").Str("upstream", string(id)).Dur("left_ms", left)
	if from != "" {
		line = line.Str("from", from)
	}
	line.Send()
}

// weightingChanged logs that address responses to callers of this data centre weight hosts from now on, or no longer.
func (d *decisionLog) weightingChanged(weighted bool, weight float64, addresses int) {
	name := "weighting_ended"
	if weighted {
		name = "weighting_started"
	}
	d.logger.Info().Str("event", name).Float64("weight", weight).Int("addresses", addresses).Send()
}

// connectionLost logs a connection to an upstream that broke together with connections to other upstreams, which indicates a
// fault of this host.
func (d *decisionLog) connectionLost(upstream settings.UpstreamID) {
	if !d.failures.Allow() {
		d.skipped.Add(1)
		return
	}
	d.logger.Info().Str("event", "connection_lost").Str("upstream", string(upstream)).Send()
}

// run periodically logs how many lines were skipped, until ctx ends.
func (d *decisionLog) run(ctx context.Context) {
	ticker := time.NewTicker(skippedReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.flush()
		}
	}
}

func (d *decisionLog) flush() {
	if n := d.skipped.Swap(0); n > 0 {
		d.logger.Warn().Str("event", "log_lines_skipped").Int64("count", n).Send()
	}
}

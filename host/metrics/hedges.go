package metrics

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// hedgeCounters count hedged attempts.
type hedgeCounters struct {
	started, won, refused metric.Int64Counter
	wasted                metric.Float64Counter
}

func newHedgeCounters(meter metric.Meter) (hedgeCounters, error) {
	var c hedgeCounters
	var errs [4]error
	c.started, errs[0] = meter.Int64Counter("bronzeyard.hedges.started",
		metric.WithDescription("Hedged attempts, which start while another attempt of the request runs."))
	c.won, errs[1] = meter.Int64Counter("bronzeyard.hedges.won",
		metric.WithDescription("Hedged attempts whose response the caller received."))
	c.refused, errs[2] = meter.Int64Counter("bronzeyard.hedges.refused",
		metric.WithDescription("Requests whose hedged attempt was due and did not start at once, by reason."))
	c.wasted, errs[3] = meter.Float64Counter("bronzeyard.hedges.wasted", metric.WithUnit("s"),
		metric.WithDescription("Time of upstreams on attempts of hedged requests whose response was not used."))
	return c, errors.Join(errs[:]...)
}

// RecordHedges records the hedged attempts of a request. refused is the reason for which one that was due did not start; empty if
// there was none.
func (m *Metrics) RecordHedges(started int, won bool, wasted time.Duration, refused string) {
	ctx := context.Background()
	if started > 0 {
		m.hedges.started.Add(ctx, int64(started))
		m.hedges.wasted.Add(ctx, wasted.Seconds())
	}
	if won {
		m.hedges.won.Add(ctx, 1)
	}
	if refused != "" {
		m.hedges.refused.Add(ctx, 1, metric.WithAttributes(attribute.String("reason", refused)))
	}
}

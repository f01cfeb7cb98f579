package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/breaker"
	"github.com/bronzeyard/bronzeyard/gateway/registry"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/forward"
)

const (
	// probeInterval is the time between two looks for breakers that are due for a probe.
	probeInterval = 100 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 600 * time.Millisecond
	// probesToClose is the number of good probes in a row that close a breaker. An upstream that breaks three of four
	// exchanges passes with a probability of 1.6%.
	probesToClose = 3
	// probeGap is the time between the probes of a trial.
	probeGap = 60 * time.Millisecond
)

// prober tests upstreams whose breakers opened because exchanges with them broke. A probe is a request without an id on a
// route of the upstream's service: upstreams refuse it without running it, but it takes the way of every request, which
// health endpoints do not.
type prober struct{ *Gateway }

func newProber(g *Gateway) *prober { return &prober{Gateway: g} }

func (p *prober) run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, id := range p.router.breakers.ProbesDue(now) {
				p.trial(ctx, id)
			}
		}
	}
}

// trial starts the probes of one upstream.
func (p *prober) trial(ctx context.Context, id settings.UpstreamID) {
	entry, ok := p.router.registry.View().Find(id)
	if !ok || entry.Upstream.Leaving {
		return
	}
	route, ok := p.snapshot().RouteTo(entry.Service)
	if !ok {
		return
	}
	p.node.Tell(p.router.breakers.BeginTrial(time.Now(), id))
	go p.probes(ctx, entry, route)
}

func (p *prober) probes(ctx context.Context, entry registry.Entry, route *settings.Route) {
	id := entry.Upstream.ID
	for i := range probesToClose {
		if i > 0 {
			time.Sleep(probeGap)
		}
		sample := p.probe(ctx, entry, route)
		if sample != breaker.Good {
			p.router.report(id, sample)
			return
		}
	}
	p.router.report(id, breaker.Good)
	p.logger.Info().Str("event", "breaker_closed").Str("upstream", string(id)).Int("probes", probesToClose).Send()
}

// probe makes one exchange.
func (p *prober) probe(ctx context.Context, entry registry.Entry, route *settings.Route) breaker.Sample {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request := &forward.Request{
		Method: http.MethodGet, Host: route.Host, RequestTarget: route.PathPrefix, Verbatim: true, Pooled: true,
		Header: http.Header{"User-Agent": {"bronzeyard-probe"}},
	}
	answer, err := p.forwarder.Do(ctx, request, forward.Target{
		Address: entry.Upstream.Address,
		Header:  map[string]string{p.options.Headers.Instance: string(entry.Upstream.ID)},
	})
	var failure *forward.AttemptError
	switch {
	case err == nil:
		answer.Close()
		return breaker.Good
	case errors.As(err, &failure) && !failure.Connected:
		return breaker.Unreachable
	default:
		return breaker.Broken
	}
}

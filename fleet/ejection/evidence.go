package ejection

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet"
	"github.com/bronzeyard/bronzeyard/fleet/ejection/ejectionpb"
	"github.com/bronzeyard/bronzeyard/settings"
)

const (
	// decayTime is the time constant by which recent counts decay.
	decayTime = 5 * time.Second
	// minRecentCount is the recent count from which a host has a sample of an upstream. One sample stays above it for 3.5 s.
	minRecentCount = 0.5
	// blameFraction is the fraction of the threshold from which a host blames an upstream, which three bad samples in a row
	// reach. It must be below 1, so that a faulty host becomes suspect before its samples eject upstreams.
	blameFraction = 0.5
	// maxLLRFactor limits the log-likelihood ratio, in multiples of the threshold. A few good samples then clear an
	// upstream that could not be ejected while it was unhealthy.
	maxLLRFactor = 1.5
	// unhealthyServiceRate is the median over the upstreams of the rate of bad samples from which the service as a whole is
	// unhealthy. Ejections would then only move its load to fewer upstreams.
	unhealthyServiceRate = 0.3
	// minMedianSamples is the recent count from which an upstream is included in the median.
	minMedianSamples = 3
)

// decayingCounts are counts of samples with exponential decay.
type decayingCounts struct {
	ok, bad   float64
	updatedAt time.Time
}

func (d *decayingCounts) add(now time.Time, ok, bad float64) {
	factor := math.Exp(-float64(now.Sub(d.updatedAt)) / float64(decayTime))
	d.ok = d.ok*factor + ok
	d.bad = d.bad*factor + bad
	d.updatedAt = now
}

// llr is a CUSUM statistic: a cumulative log-likelihood ratio that never falls below 0.
type llr struct {
	value float64
	// burst is the number of bad samples counted since burstAt.
	burst   float64
	burstAt time.Time
}

func (r *llr) set(value float64) { *r = llr{value: value} }

func (r *llr) add(now time.Time, o *ArbiterOptions, healthyRate, ok, bad float64) {
	if now.Sub(r.burstAt) >= o.BurstWindow {
		r.burst, r.burstAt = 0, now
	}
	bad = min(bad, o.BurstLimit-r.burst)
	r.burst += bad
	r.value = max(0, r.value+ok*math.Log((1-o.UnhealthyRate)/(1-healthyRate)))
	r.value = min(maxLLRFactor*o.Threshold, r.value+bad*math.Log(o.UnhealthyRate/healthyRate))
}

// evidence is what one host reported about one upstream.
type evidence struct {
	ok, bad      uint64
	recentCounts decayingCounts
	llr          llr
}

// reporter is what the arbiter has recorded about one host process that sends digests.
type reporter struct {
	lastDigest   uint64
	lastGrant    uint64
	lastDigestAt time.Time
	// suspect is true while the samples of the host are ignored, because the fault is probably its own.
	suspect  bool
	evidence map[settings.UpstreamID]*evidence
}

// newReporter takes the counts of the first digest as the baseline, because its samples may be old.
func newReporter(digest *ejectionpb.Digest) *reporter {
	r := &reporter{evidence: make(map[settings.UpstreamID]*evidence)}
	for _, c := range digest.GetCounts() {
		r.evidence[settings.UpstreamID(c.GetUpstream())] = &evidence{ok: c.GetOk(), bad: c.GetBad()}
	}
	return r
}

// addSamples adds the samples that the host has gained since its last digest.
func (a *Arbiter) addSamples(now time.Time, r *reporter, digest *ejectionpb.Digest) {
	rate := a.healthyRate()
	for _, c := range digest.GetCounts() {
		s := a.upstreams[settings.UpstreamID(c.GetUpstream())]
		if s == nil {
			continue
		}
		e := r.evidence[s.id]
		if e == nil {
			e = &evidence{}
			r.evidence[s.id] = e
		}
		if c.GetOk() < e.ok || c.GetBad() < e.bad {
			continue
		}
		ok, bad := float64(c.GetOk()-e.ok), float64(c.GetBad()-e.bad)
		e.ok, e.bad = c.GetOk(), c.GetBad()
		e.recentCounts.add(now, ok, bad)
		e.llr.add(now, &a.options, rate, ok, bad)
		if !r.suspect {
			s.recentCounts.add(now, ok, bad)
			s.llr.add(now, &a.options, rate, ok, bad)
		}
	}
}

// medianRate returns the lower median of the recent rates of bad samples of the upstreams.
func (a *Arbiter) medianRate() float64 {
	var rates []float64
	for _, s := range a.upstreams {
		if total := s.recentCounts.ok + s.recentCounts.bad; total >= minMedianSamples {
			rates = append(rates, s.recentCounts.bad/total)
		}
	}
	if len(rates) == 0 {
		return 0
	}
	slices.Sort(rates)
	return rates[(len(rates)-1)/2]
}

// healthyRate returns the rate of bad samples that is normal for the service at present.
func (a *Arbiter) healthyRate() float64 {
	return min(max(a.options.HealthyRate, a.medianRate()), unhealthyServiceRate)
}

// markSuspectReporters marks the hosts that blame at least half of the upstreams. If most hosts do so, the fault lies with
// the service and no host is marked.
func (a *Arbiter) markSuspectReporters(now time.Time) {
	suspects := 0
	for _, r := range a.reporters {
		blamed := 0
		for id, e := range r.evidence {
			e.recentCounts.add(now, 0, 0)
			if a.upstreams[id] != nil && e.recentCounts.bad >= minRecentCount && e.llr.value >= blameFraction*a.options.Threshold {
				blamed++
			}
		}
		r.suspect = blamed >= 2 && 2*blamed >= len(a.upstreams)
		if r.suspect {
			suspects++
		}
	}
	if 2*suspects <= len(a.reporters) {
		return
	}
	for _, r := range a.reporters {
		r.suspect = false
	}
}

// countReporters returns how many hosts recently had samples of the upstream and how many of them had bad ones. It omits
// suspect hosts.
func (a *Arbiter) countReporters(id settings.UpstreamID) (sampled, blaming int) {
	for _, r := range a.reporters {
		e := r.evidence[id]
		if e == nil || r.suspect {
			continue
		}
		if e.recentCounts.ok+e.recentCounts.bad >= minRecentCount {
			sampled++
		}
		if e.recentCounts.bad >= minRecentCount {
			blaming++
		}
	}
	return sampled, blaming
}

// trimToBudget ends ejections that the budget no longer allows, because upstreams left or the floor rose. Ejections of
// returning upstreams end first, then those with the least evidence.
func (a *Arbiter) trimToBudget(now time.Time) {
	n := 0
	var out []*upstreamState
	for _, s := range a.worstFirst() {
		if s.leaving || s.draining(now) {
			continue
		}
		n++
		if s.phase != inUse {
			out = append(out, s)
		}
	}
	for len(out) > Budget(n, a.floor) {
		last := out[len(out)-1]
		last.phase = inUse
		last.hosts = nil
		last.inUseSince = now
		out = out[:len(out)-1]
	}
}

// ejectUnhealthy ejects unhealthy upstreams, worst first, as far as the budget allows.
func (a *Arbiter) ejectUnhealthy(now time.Time) {
	if now.Before(a.grantFrom) || a.medianRate() >= unhealthyServiceRate {
		return
	}
	budgetExhausted := false
	for _, s := range a.ejectionCandidates(now) {
		switch {
		case s.phase == ejected && s.hosts != nil:
			s.hosts = nil
		case a.fitsBudget(now, s):
			a.eject(now, s)
			s.hosts = nil
		default:
			budgetExhausted = true
		}
	}
	if budgetExhausted {
		a.releaseLocal()
		return
	}
	a.ejectLocally(now)
}

// ejectionCandidates lists the upstreams that should be ejected for all hosts, worst first. At least two hosts must have
// had bad samples, or the only host that had any samples.
func (a *Arbiter) ejectionCandidates(now time.Time) []*upstreamState {
	var list []*upstreamState
	for _, s := range a.upstreams {
		// A local ejection can be extended to all hosts until its slow start begins.
		alreadyEjected := s.phase == probing || s.phase == returning || (s.phase == ejected && s.hosts == nil)
		if alreadyEjected || s.leaving || s.draining(now) || s.llr.value < a.options.Threshold {
			continue
		}
		sampled, blaming := a.countReporters(s.id)
		if blaming >= min(2, sampled) && blaming > 0 {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(x, y *upstreamState) int {
		return cmp.Or(cmp.Compare(y.llr.value, x.llr.value), cmp.Compare(x.id, y.id))
	})
	return list
}

// releaseLocal ends one ejection that applies to some hosts only, because an ejection for all hosts needs its slot in the
// budget.
func (a *Arbiter) releaseLocal() {
	for _, s := range a.worstFirst() {
		if s.phase == ejected && s.hosts != nil {
			s.phase = inUse
			s.hosts = nil
			return
		}
	}
}

// ejectLocally ejects upstreams for the hosts whose own samples alone reach the threshold.
func (a *Arbiter) ejectLocally(now time.Time) {
	for _, id := range a.reporterIDs() {
		r := a.reporters[id]
		for _, s := range a.worstFirst() {
			e := r.evidence[s.id]
			if e == nil || r.suspect || s.leaving || s.draining(now) || e.llr.value < a.options.Threshold {
				continue
			}
			switch {
			case s.phase == ejected && s.hosts != nil:
				s.hosts[id] = true
			case s.phase == inUse && a.fitsBudget(now, s):
				a.eject(now, s)
				s.hosts = map[fleet.Identity]bool{id: true}
			default:
				continue
			}
			e.llr.set(0)
		}
	}
}

func (a *Arbiter) reporterIDs() []fleet.Identity {
	ids := make([]fleet.Identity, 0, len(a.reporters))
	for id := range a.reporters {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(x, y fleet.Identity) int {
		return cmp.Or(cmp.Compare(x.ID, y.ID), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	return ids
}

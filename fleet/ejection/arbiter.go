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
	// Lease is how long a host may act on a grant. It starts when the host sends the report, before the grant is made.
	Lease = 3 * time.Second
	// Margin covers clock drift and the interval at which hosts rebuild their sets.
	Margin = 500 * time.Millisecond

	baseEjectionTime = 5 * time.Second
	maxEjectionTime  = 5 * time.Minute
	// ejectionTimeResetAfter is how long an upstream must stay in use before its next ejection time is baseEjectionTime again.
	ejectionTimeResetAfter = 5 * time.Minute
	// slowStart is how long a returning upstream takes to reach weight 1.
	slowStart = 10 * time.Second
	// minSlowStartWeight is the weight at which slow start begins.
	minSlowStartWeight = 0.1
	// reporterTimeout is how long a host still counts as a reporter after its last digest.
	reporterTimeout = 10 * time.Second
	// drainSignTTL is how long a drain sign is valid after a host last reported it.
	drainSignTTL       = 5 * time.Second
	probeRetryInterval = time.Second
	// suspectFraction is the fraction of the threshold at which an upstream becomes a suspect, which one bad sample
	// reaches. Hosts then send it more requests. Requests are only moved between upstreams, so a false suspicion costs little.
	suspectFraction = 0.2
	// maxSuspects limits how many upstreams of a service are suspects at the same time.
	maxSuspects = 2
)

// ArbiterOptions configure the statistical test of an Arbiter.
type ArbiterOptions struct {
	// HealthyRate is the rate of bad samples of a healthy upstream. Default 0.02.
	HealthyRate float64
	// UnhealthyRate is the rate of bad samples of an unhealthy upstream. Default 0.4. With a HealthyRate of 0.05, an
	// UnhealthyRate of 0.5 and a threshold of 10, upstreams that failed half of their requests took a fifth longer to
	// detect.
	UnhealthyRate float64
	// Threshold is the log-likelihood ratio of unhealthy to healthy at which an upstream is ejected. Default 14, which
	// five bad samples reach with at most one good sample between them. When four bad samples were enough, upstreambench
	// recorded 4 false ejections in 26 upstream-hours.
	Threshold float64
	// BurstLimit is the maximum number of bad samples of an upstream that count within BurstWindow. A short pause of an
	// upstream makes all its samples of that moment bad, although it is one event. Default 2.
	BurstLimit float64
	// BurstWindow is the length of the window. Default 600 ms: the samples of a pause of 200 ms arrive with the digests
	// of the next 250 ms, so a window of 400 ms could count one pause twice.
	BurstWindow time.Duration
	// Probes is true if the caller sends the probes that Arbiter.Probes lists. Default false: upstreams return without a probe.
	Probes bool
}

func (o *ArbiterOptions) setDefaults() {
	o.HealthyRate = cmp.Or(o.HealthyRate, 0.02)
	o.UnhealthyRate = cmp.Or(o.UnhealthyRate, 0.4)
	o.Threshold = cmp.Or(o.Threshold, 14)
	o.BurstLimit = cmp.Or(o.BurstLimit, 2)
	o.BurstWindow = cmp.Or(o.BurstWindow, 600*time.Millisecond)
}

// phase is the stage of an upstream in the ejection cycle.
type phase int

const (
	inUse phase = iota
	ejected
	probing
	// returning is the slow start after an ejection.
	returning
)

// upstreamState is what an arbiter has recorded about one upstream.
type upstreamState struct {
	id      settings.UpstreamID
	leaving bool
	phase   phase
	// hosts limits the ejection to these hosts; nil means all hosts.
	hosts map[fleet.Identity]bool
	llr   llr
	// recentCounts are the samples of all hosts.
	recentCounts decayingCounts
	ejectionTime time.Duration
	// phaseEnd is the end of the ejection time or of the slow start.
	phaseEnd time.Time
	// inUseSince is when the last ejection ended; zero if there was none.
	inUseSince time.Time
	probedAt   time.Time
	// leasedUntil is the time until which some host may hold a lease of the ejection.
	leasedUntil time.Time
	drainUntil  time.Time
}

func (s *upstreamState) draining(now time.Time) bool { return now.Before(s.drainUntil) }

// usesBudget reports whether the upstream counts against the budget.
func (s *upstreamState) usesBudget(now time.Time) bool {
	return s.phase != inUse || now.Before(s.leasedUntil)
}

// weight is the weight that hosts give to the upstream while it is not in use.
func (s *upstreamState) weight(now time.Time) float64 {
	if s.phase != returning {
		return 0
	}
	return min(1, max(minSlowStartWeight, 1-float64(s.phaseEnd.Sub(now))/float64(slowStart)))
}

// Arbiter decides on the ejections of one service.
type Arbiter struct {
	options    ArbiterOptions
	takeoverAt time.Time
	// grantFrom is when the leases of previous arbiters have ended.
	grantFrom time.Time
	floor     float64
	upstreams map[settings.UpstreamID]*upstreamState
	reporters map[fleet.Identity]*reporter
}

// NewArbiter returns an arbiter that starts at now. takeoverAt is the time from which no arbiter of an earlier epoch acts
// (fleet.View.TakeoverAt).
func NewArbiter(now, takeoverAt time.Time, options ArbiterOptions) *Arbiter {
	options.setDefaults()
	if takeoverAt.Before(now) {
		takeoverAt = now
	}
	return &Arbiter{
		options:    options,
		takeoverAt: takeoverAt,
		grantFrom:  takeoverAt.Add(Lease + Margin),
		upstreams:  make(map[settings.UpstreamID]*upstreamState),
		reporters:  make(map[fleet.Identity]*reporter),
	}
}

// SetService applies the upstreams and the floor of the service's settings.
func (a *Arbiter) SetService(service *settings.Service) {
	a.floor = service.Policy.Floor
	known := make(map[settings.UpstreamID]bool, len(service.Upstreams))
	for _, u := range service.Upstreams {
		known[u.ID] = true
		s := a.upstreams[u.ID]
		if s == nil {
			s = &upstreamState{id: u.ID}
			a.upstreams[u.ID] = s
		}
		s.leaving = u.Leaving
	}
	for id := range a.upstreams {
		if !known[id] {
			delete(a.upstreams, id)
		}
	}
}

// Budget returns how many of n upstreams may be ejected at the given floor, the fraction that must stay in use.
func Budget(n int, floor float64) int {
	const rounding = 1e-9
	return max(0, n-int(math.Ceil(float64(n)*floor-rounding)))
}

// remainingBudget is how many more upstreams may be ejected. It is negative if the budget is exceeded.
func (a *Arbiter) remainingBudget(now time.Time) int {
	n, used := 0, 0
	for _, s := range a.upstreams {
		if s.leaving || s.draining(now) {
			continue
		}
		n++
		if s.usesBudget(now) {
			used++
		}
	}
	return Budget(n, a.floor) - used
}

// fitsBudget reports whether the upstream may be ejected within the budget. An upstream that already counts against the
// budget needs no further slot.
func (a *Arbiter) fitsBudget(now time.Time, s *upstreamState) bool {
	if s.usesBudget(now) {
		return a.remainingBudget(now) >= 0
	}
	return a.remainingBudget(now) > 0
}

// ProcessDigest adds the samples of a host's digest and returns the host's new set of ejections. It returns nil for a
// digest that is not newer than the last one of the same process.
func (a *Arbiter) ProcessDigest(now time.Time, from fleet.Identity, digest *ejectionpb.Digest) *ejectionpb.Grant {
	r := a.reporters[from]
	if r == nil {
		r = newReporter(digest)
		a.reporters[from] = r
	} else if digest.GetSequence() <= r.lastDigest {
		return nil
	}
	r.lastDigest = digest.GetSequence()
	r.lastDigestAt = now
	for _, held := range digest.GetHeld() {
		a.adopt(now, from, digest, held)
	}
	for _, id := range digest.GetDraining() {
		if s := a.upstreams[settings.UpstreamID(id)]; s != nil {
			s.drainUntil = now.Add(drainSignTTL)
		}
	}
	a.addSamples(now, r, digest)
	a.Advance(now)
	return a.grant(now, from, r)
}

// adopt records an ejection that a previous arbiter granted. The ejection is renewed only if that arbiter counts it
// against its own budget until it stops acting. Otherwise it only counts against the budget until its lease ends.
func (a *Arbiter) adopt(now time.Time, from fleet.Identity, digest *ejectionpb.Digest, held *ejectionpb.Held) {
	s := a.upstreams[settings.UpstreamID(held.GetUpstream())]
	if s == nil || digest.GetApplied() != 0 || !now.Before(a.grantFrom) {
		return
	}
	end := now.Add(time.Duration(held.GetRemainingMs()) * time.Millisecond)
	renewable := !end.Before(a.takeoverAt) && a.fitsBudget(now, s)
	if end = end.Add(Margin); s.leasedUntil.Before(end) {
		s.leasedUntil = end
	}
	if s.phase == inUse && renewable {
		s.ejectionTime = time.Duration(held.GetHoldMs()) * time.Millisecond
		s.ejectionTime = min(max(s.ejectionTime, baseEjectionTime), maxEjectionTime)
		s.phase = ejected
		s.phaseEnd = now.Add(baseEjectionTime)
		if weight := float64(held.GetWeightPermille()) / permille; weight > 0 {
			s.phase = returning
			s.phaseEnd = now.Add(time.Duration((1 - weight) * float64(slowStart)))
			s.llr.set(a.relapseLLR())
		}
		if held.GetLocal() {
			s.hosts = map[fleet.Identity]bool{from: true}
		}
	}
	if s.phase != inUse && s.hosts != nil && renewable {
		s.hosts[from] = true
		if !held.GetLocal() {
			s.hosts = nil
		}
	}
}

// grant returns the ejections that apply to a host and records their leases.
func (a *Arbiter) grant(now time.Time, to fleet.Identity, r *reporter) *ejectionpb.Grant {
	r.lastGrant++
	grant := &ejectionpb.Grant{Sequence: r.lastGrant, Digest: r.lastDigest}
	for _, s := range a.worstFirst() {
		if s.draining(now) {
			grant.Draining = append(grant.Draining, string(s.id))
		}
		if a.isSuspect(now, s) && len(grant.Suspects) < maxSuspects {
			grant.Suspects = append(grant.Suspects, string(s.id))
		}
		if s.phase == inUse || (s.hosts != nil && !s.hosts[to]) {
			continue
		}
		s.leasedUntil = now.Add(Lease + Margin)
		grant.Ejections = append(grant.Ejections, &ejectionpb.Held{
			Upstream:       string(s.id),
			RemainingMs:    uint32(Lease / time.Millisecond),
			WeightPermille: uint32(s.weight(now) * permille),
			Local:          s.hosts != nil,
			HoldMs:         uint32(s.ejectionTime / time.Millisecond),
		})
	}
	return grant
}

// isSuspect reports whether hosts should send more requests to the upstream to gain samples.
func (a *Arbiter) isSuspect(now time.Time, s *upstreamState) bool {
	return s.phase == inUse && !s.leaving && !s.draining(now) && s.llr.value >= suspectFraction*a.options.Threshold &&
		a.medianRate() < unhealthyServiceRate
}

// permille is the number of units of 1 in which messages express weights.
const permille = 1000

// worstFirst lists the upstreams: returning ones last, and by descending log-likelihood ratio within each group.
func (a *Arbiter) worstFirst() []*upstreamState {
	list := make([]*upstreamState, 0, len(a.upstreams))
	for _, s := range a.upstreams {
		list = append(list, s)
	}
	slices.SortFunc(list, func(x, y *upstreamState) int {
		return cmp.Or(cmp.Compare(x.rank(), y.rank()), cmp.Compare(y.llr.value, x.llr.value), cmp.Compare(x.id, y.id))
	})
	return list
}

func (s *upstreamState) rank() int {
	if s.phase == returning {
		return 1
	}
	return 0
}

// Advance applies time-outs and the ends of phases, and decides on new ejections.
func (a *Arbiter) Advance(now time.Time) {
	for id, r := range a.reporters {
		if now.Sub(r.lastDigestAt) > reporterTimeout {
			delete(a.reporters, id)
		}
	}
	a.markSuspectReporters(now)
	for _, s := range a.upstreams {
		a.recover(now, s)
	}
	a.trimToBudget(now)
	a.ejectUnhealthy(now)
}

// recover moves an upstream whose phase has ended to the next one, and ejects a returning upstream that fails again.
func (a *Arbiter) recover(now time.Time, s *upstreamState) {
	switch s.phase {
	case ejected:
		if now.Before(s.phaseEnd) {
			return
		}
		if a.options.Probes && s.hosts == nil {
			s.phase = probing
			s.probedAt = time.Time{}
			return
		}
		a.startReturn(now, s)
	case returning:
		if s.llr.value >= a.options.Threshold {
			a.eject(now, s)
			return
		}
		if !now.Before(s.phaseEnd) {
			s.phase = inUse
			s.hosts = nil
			s.inUseSince = now
		}
	default:
	}
}

func (a *Arbiter) startReturn(now time.Time, s *upstreamState) {
	s.phase = returning
	s.phaseEnd = now.Add(slowStart)
	s.llr.set(a.relapseLLR())
}

// relapseLLR is the log-likelihood ratio at which slow start begins. Two bad samples in a row raise it to the threshold.
func (a *Arbiter) relapseLLR() float64 {
	const badSamples = 1.8
	return max(0, a.options.Threshold-badSamples*math.Log(a.options.UnhealthyRate/a.options.HealthyRate))
}

// eject ejects an upstream. The ejection time doubles with each ejection, up to maxEjectionTime. It starts again at
// baseEjectionTime if the upstream has been in use for longer than ejectionTimeResetAfter.
func (a *Arbiter) eject(now time.Time, s *upstreamState) {
	switch {
	case s.ejectionTime == 0 || (s.phase == inUse && now.Sub(s.inUseSince) > ejectionTimeResetAfter):
		s.ejectionTime = baseEjectionTime
	default:
		s.ejectionTime = min(maxEjectionTime, 2*s.ejectionTime)
	}
	s.phase = ejected
	s.phaseEnd = now.Add(s.ejectionTime)
}

// Probes lists the upstreams to probe now. Each is listed again if no result arrives within a second.
func (a *Arbiter) Probes(now time.Time) []settings.UpstreamID {
	var due []settings.UpstreamID
	for _, s := range a.upstreams {
		if s.phase == probing && now.Sub(s.probedAt) >= probeRetryInterval {
			s.probedAt = now
			due = append(due, s.id)
		}
	}
	slices.Sort(due)
	return due
}

// ProbeResult records the result of a probe; a nil err is a success. After a failed probe the upstream is ejected again,
// for twice as long.
func (a *Arbiter) ProbeResult(now time.Time, id settings.UpstreamID, err error) {
	s := a.upstreams[id]
	if s == nil || s.phase != probing {
		return
	}
	if err != nil {
		a.eject(now, s)
		return
	}
	a.startReturn(now, s)
}

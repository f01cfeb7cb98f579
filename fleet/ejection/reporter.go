package ejection

import (
	"slices"
	"time"

	"github.com/bronzeyard/bronzeyard/fleet/ejection/ejectionpb"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/traffic/outlier"
)

// suspectsTTL is how long a host acts on the suspects of a grant: a few reporting intervals.
const suspectsTTL = time.Second

// heldEjection is an ejection that was granted to the host.
type heldEjection struct {
	id           settings.UpstreamID
	weight       float64
	local        bool
	ejectionTime time.Duration
	expires      time.Time
}

// Reporter is the state of one service on one reporting host. It builds digests and holds the ejections that the arbiter
// granted.
type Reporter struct {
	sequence uint64
	// epoch is the epoch by which the arbiter was chosen.
	epoch uint64
	// applied is the sequence of the last grant of the arbiter of that epoch; 0 for none.
	applied uint64
	// confirmed holds the counts that the arbiter has processed.
	confirmed map[settings.UpstreamID]outlier.Counts
	// sent holds the counts of the last digest until a grant confirms them.
	sent map[settings.UpstreamID]outlier.Counts
	held []heldEjection
	// draining are the upstreams whose drain sign any host has seen, according to the last grant. localDraining are the
	// ones that this host has seen.
	draining      map[settings.UpstreamID]bool
	localDraining []settings.UpstreamID
	// suspects are valid until suspectsUntil.
	suspects      map[settings.UpstreamID]bool
	suspectsUntil time.Time
}

// NewReporter returns a reporter that holds no ejections.
func NewReporter() *Reporter {
	return &Reporter{
		confirmed: make(map[settings.UpstreamID]outlier.Counts),
		draining:  make(map[settings.UpstreamID]bool),
	}
}

// SetEpoch sets the epoch by which the arbiter is chosen. The host keeps its ejections until their leases end or a grant of
// the new arbiter replaces them.
func (r *Reporter) SetEpoch(number uint64) {
	if r.epoch == number {
		return
	}
	r.epoch = number
	r.applied = 0
	r.sent = nil
	clear(r.confirmed)
}

// Digest builds the next digest. counts yields the cumulative counts of the host's detector, and draining are the upstreams
// whose drain sign the host has seen.
func (r *Reporter) Digest(
	now time.Time, counts func(yield func(settings.UpstreamID, outlier.Counts) bool), draining []settings.UpstreamID,
) *ejectionpb.Digest {
	r.sequence++
	digest := &ejectionpb.Digest{Sequence: r.sequence, Applied: r.applied}
	r.sent = make(map[settings.UpstreamID]outlier.Counts)
	for id, c := range counts {
		if r.confirmed[id] == c {
			continue
		}
		r.sent[id] = c
		digest.Counts = append(digest.Counts, &ejectionpb.Counts{Upstream: string(id), Ok: c.OK, Bad: c.Bad(), Shed: c.Shed})
	}
	for _, h := range r.held {
		// The arbiter that granted these ejections needs no report of them; a new one does.
		if r.applied == 0 && now.Before(h.expires) {
			digest.Held = append(digest.Held, h.message(now))
		}
	}
	r.localDraining = draining
	for _, id := range draining {
		digest.Draining = append(digest.Draining, string(id))
	}
	return digest
}

func (h *heldEjection) message(now time.Time) *ejectionpb.Held {
	return &ejectionpb.Held{
		Upstream:       string(h.id),
		RemainingMs:    uint32(h.expires.Sub(now) / time.Millisecond),
		WeightPermille: uint32(h.weight * permille),
		Local:          h.local,
		HoldMs:         uint32(h.ejectionTime / time.Millisecond),
	}
}

// Apply replaces the host's ejections by those of a grant. sentAt is when the host sent the digest that the grant responds
// to, and epoch the epoch of the arbiter. Apply reports whether the grant was newer than the last applied one.
func (r *Reporter) Apply(sentAt time.Time, epoch uint64, grant *ejectionpb.Grant) bool {
	if grant == nil || epoch != r.epoch || grant.GetSequence() <= r.applied {
		return false
	}
	r.applied = grant.GetSequence()
	if grant.GetDigest() == r.sequence {
		for id, c := range r.sent {
			r.confirmed[id] = c
		}
	}
	r.held = r.held[:0]
	for _, e := range grant.GetEjections() {
		r.held = append(r.held, heldEjection{
			id:           settings.UpstreamID(e.GetUpstream()),
			weight:       float64(e.GetWeightPermille()) / permille,
			local:        e.GetLocal(),
			ejectionTime: time.Duration(e.GetHoldMs()) * time.Millisecond,
			expires:      sentAt.Add(time.Duration(e.GetRemainingMs()) * time.Millisecond),
		})
	}
	r.suspects = make(map[settings.UpstreamID]bool, len(grant.GetSuspects()))
	r.suspectsUntil = sentAt.Add(suspectsTTL)
	for _, id := range grant.GetSuspects() {
		r.suspects[settings.UpstreamID(id)] = true
	}
	clear(r.draining)
	for _, id := range grant.GetDraining() {
		r.draining[settings.UpstreamID(id)] = true
	}
	return true
}

// Set returns the ejections that are active at now, for the service as this host's settings define it. If these settings
// give a smaller budget than those of the arbiter, Set omits the last ejections of the grant.
func (r *Reporter) Set(now time.Time, service *settings.Service) *Set {
	set := &Set{weights: make(map[settings.UpstreamID]float64)}
	if now.Before(r.suspectsUntil) {
		set.suspects = r.suspects
	}
	usable := make(map[settings.UpstreamID]bool, len(service.Upstreams))
	for _, u := range service.Upstreams {
		if r.draining[u.ID] || slices.Contains(r.localDraining, u.ID) {
			set.weights[u.ID] = 0
			continue
		}
		usable[u.ID] = !u.Leaving
	}
	n := 0
	for _, u := range usable {
		if u {
			n++
		}
	}
	if n == 0 {
		clear(set.weights)
	}
	budget := Budget(n, service.Policy.Floor)
	for _, h := range r.held {
		if budget == 0 || !now.Before(h.expires) || !usable[h.id] {
			continue
		}
		budget--
		set.ejections = append(set.ejections, Ejection{Upstream: h.id, Weight: h.weight, Local: h.local, Expires: h.expires})
		set.weights[h.id] = h.weight
		if set.validUntil.IsZero() || h.expires.Before(set.validUntil) {
			set.validUntil = h.expires
		}
	}
	return set
}

// Ejection is one active ejection on a host.
type Ejection struct {
	Upstream settings.UpstreamID
	// Weight is the share of requests that the upstream gets: 0 while it is ejected, and growing during its slow start.
	Weight float64
	// Local is true if the ejection applies to some hosts only.
	Local bool
	// Expires is the end of the lease on the host's lease clock.
	Expires time.Time
}

// Set is the immutable set of ejections of one service on one host.
type Set struct {
	weights    map[settings.UpstreamID]float64
	ejections  []Ejection
	suspects   map[settings.UpstreamID]bool
	validUntil time.Time
}

// Weight is the share of requests that the upstream may get: 0 while it is ejected or draining, below 1 during its slow
// start, and else 1. A nil Set gives 1 to every upstream.
func (s *Set) Weight(id settings.UpstreamID) float64 {
	if s == nil {
		return 1
	}
	if weight, ok := s.weights[id]; ok {
		return weight
	}
	return 1
}

// Sampling is a Set as it applies to requests that may be retried. Its Weight is above 1 for suspects, upstreams with some
// evidence against them. The balancer then sends them more requests, which confirm or refute the suspicion sooner.
type Sampling struct{ *Set }

// Weight is SuspectWeight for a suspect that is in use, and Set.Weight otherwise.
func (s Sampling) Weight(id settings.UpstreamID) float64 {
	weight := s.Set.Weight(id)
	if s.Set != nil && weight == 1 && s.suspects[id] {
		return SuspectWeight
	}
	return weight
}

// SuspectWeight is the weight of a suspect.
const SuspectWeight = 2

// Ejections lists the ejections, worst first.
func (s *Set) Ejections() []Ejection {
	if s == nil {
		return nil
	}
	return s.ejections
}

// validAt reports whether all leases of the set still run.
func (s *Set) validAt(now time.Time) bool { return s.validUntil.IsZero() || now.Before(s.validUntil) }

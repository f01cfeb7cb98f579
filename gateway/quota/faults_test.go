package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

const (
	faultStep      = 5 * time.Millisecond
	reportInterval = 150 * time.Millisecond
	heartbeatEvery = time.Second
	faultSeeds     = 60
	// faultDay is the simulated time of one seed.
	faultDay = 20 * time.Second
)

// process is one run of a host.
type process struct {
	limiter     *Limiter
	epoch       int
	startedAt   time.Duration // not before this time after a kill
	frozenUntil time.Duration
	cutUntil    time.Duration
	reportAt    time.Duration
	heartbeatAt time.Duration
	// knows holds, for each other host, the epoch whose reports are accepted, and learns when the next one will be.
	knows  map[int]int
	learns map[int]learning
}

type learning struct {
	epoch int
	at    time.Duration
}

type report struct {
	at           time.Duration
	from, epoch  int
	to, received int // received is the epoch of the receiver for which the report was sent
	uses         []Usage
}

// faultyFleet plays kills, cuts, freezes and lost or late reports on several hosts in fake time.
type faultyFleet struct {
	random   *rand.Rand
	now      time.Duration
	limit    Limit
	hosts    []*process
	names    []string
	reports  []report
	admitted []time.Duration
	loss     float64
	delay    time.Duration // longest, of a report
	learning time.Duration // longest, until the record of a new process is read
	// dataCentres is the number of data centres whose hosts get the same bundle, at the same time or not at all. With 0 each
	// host gets a datagram of its own.
	dataCentres int
	asked       int
}

var simulationStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (f *faultyFleet) time() time.Time { return simulationStart.Add(f.now) }

func (f *faultyFleet) upTo(d time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(d) + 1))
}

func (f *faultyFleet) start(i int, down time.Duration) {
	p := f.hosts[i]
	p.limiter, p.epoch, p.startedAt = New(), p.epoch+1, f.now+down
	p.limiter.SetHosts(others(i, len(f.hosts)))
	p.knows, p.learns = make(map[int]int), make(map[int]learning)
	p.reportAt, p.heartbeatAt = p.startedAt+f.upTo(reportInterval), p.startedAt+f.upTo(heartbeatEvery)
	for j, other := range f.hosts {
		if j == i || other.limiter == nil {
			continue
		}
		bothUp := max(p.startedAt, other.startedAt)
		p.learns[j] = learning{other.epoch, bothUp + f.upTo(f.learning)}
		other.learns[i] = learning{p.epoch, bothUp + f.upTo(f.learning)}
	}
}

func (p *process) up(now time.Duration) bool { return now >= p.startedAt && now >= p.frozenUntil }

// talk lets hosts learn of new processes, send what is due and take what has arrived.
func (f *faultyFleet) talk() {
	for i, p := range f.hosts {
		if !p.up(f.now) {
			continue
		}
		for j, next := range p.learns {
			if f.now >= next.at {
				p.knows[j] = next.epoch
				p.limiter.ResetCounts(fmt.Sprint("host", j))
				delete(p.learns, j)
			}
		}
		if f.now >= p.heartbeatAt {
			p.heartbeatAt = f.now + heartbeatEvery
			f.send(i, p.limiter.NextReport(f.time(), false))
		}
		if f.now >= p.reportAt {
			p.reportAt = f.now + reportInterval
			if uses := p.limiter.NextReport(f.time(), true); len(uses) > 0 {
				f.send(i, uses)
			}
		}
	}
	f.deliver()
}

// transit is what becomes of one datagram.
type transit struct {
	lost    bool
	arrives time.Duration
}

func (f *faultyFleet) transit() transit {
	if f.random.Float64() < f.loss {
		return transit{lost: true}
	}
	return transit{arrives: f.now + f.upTo(f.delay)}
}

func (f *faultyFleet) send(from int, uses []Usage) {
	bundles := make([]transit, f.dataCentres)
	for i := range bundles {
		bundles[i] = f.transit()
	}
	for to, p := range f.hosts {
		if to == from || f.now < f.hosts[from].cutUntil || f.now < p.cutUntil {
			continue
		}
		var way transit
		if f.dataCentres > 0 {
			way = bundles[to%f.dataCentres]
		} else {
			way = f.transit()
		}
		if way.lost {
			continue
		}
		f.reports = append(f.reports, report{
			at: way.arrives, from: from, epoch: f.hosts[from].epoch, to: to, received: p.epoch, uses: uses,
		})
	}
}

func (f *faultyFleet) deliver() {
	limitOf := func(settings.CustomerID) (Limit, bool) { return f.limit, true }
	waiting := f.reports[:0]
	for _, r := range f.reports {
		p := f.hosts[r.to]
		if p.epoch != r.received || f.now < p.startedAt {
			continue
		}
		if f.now < r.at || f.now < p.frozenUntil {
			waiting = append(waiting, r)
			continue
		}
		if p.knows[r.from] == r.epoch {
			p.limiter.ApplyReport(f.time(), f.names[r.from], r.uses, limitOf)
		}
	}
	f.reports = waiting
}

// offer sends the requests of one step to hosts that run.
func (f *faultyFleet) offer(perSecond float64, weights []float64) {
	requests := int(perSecond*faultStep.Seconds() + f.random.Float64())
	f.asked += requests
	for range requests {
		at := f.random.Float64()
		for i, weight := range weights {
			if at -= weight; at >= 0 {
				continue
			}
			if p := f.hosts[i]; p.up(f.now) && p.limiter.Admit(f.time(), customer, f.limit).Allowed {
				f.admitted = append(f.admitted, f.now)
			}
			break
		}
	}
}

// fault draws one.
func (f *faultyFleet) fault(t *testing.T) {
	some := f.random.Float64()
	kind := f.random.IntN(5)
	t.Logf("%v: fault %d on %.2f of the hosts", f.now, kind, some)
	for i, p := range f.hosts {
		switch {
		case kind == 0:
			f.start(i, 200*time.Millisecond+f.upTo(2*time.Second))
		case f.random.Float64() > some:
		case kind == 1:
			f.start(i, 200*time.Millisecond+f.upTo(2*time.Second))
		case kind == 2:
			p.cutUntil = f.now + f.upTo(8*time.Second)
		case kind == 3:
			p.frozenUntil = f.now + f.upTo(4*time.Second)
		default:
			f.loss = 0.3
		}
	}
}

// mostIn returns the most admissions within any window, and when it begins.
func (f *faultyFleet) mostIn(window time.Duration) (most int, at time.Duration) {
	first := 0
	for i, last := range f.admitted {
		for last-f.admitted[first] >= window {
			first++
		}
		if n := i - first + 1; n > most {
			most, at = n, f.admitted[first]
		}
	}
	return most, at
}

// What users allow of a customer in a window, summed over all hosts.
const (
	allowedOvershoot = 1.1
	allowedSlack     = 20.0
	allowedWindow    = 5 * time.Second
)

func newFaultyFleet(seed uint64, hosts int, rate float64, weight func(*rand.Rand) float64) (*faultyFleet, []float64) {
	random := rand.New(rand.NewPCG(seed, 1))
	f := &faultyFleet{
		random: random, limit: Limit{Rate: rate, Burst: rate, Tolerance: allowedSlack / 4},
		delay: time.Millisecond + time.Duration(random.IntN(100))*time.Millisecond, learning: time.Second,
	}
	weights := make([]float64, hosts)
	sum := 0.0
	for i := range weights {
		f.hosts = append(f.hosts, &process{})
		f.names = append(f.names, fmt.Sprint("host", i))
		weights[i] = weight(random)
		sum += weights[i]
	}
	for i := range weights {
		weights[i] /= sum
		f.start(i, 0)
	}
	return f, weights
}

func (f *faultyFleet) expectBound(t *testing.T) {
	t.Helper()
	allowed := int((f.limit.Rate*allowedWindow.Seconds()+f.limit.Burst)*allowedOvershoot + allowedSlack)
	if most, at := f.mostIn(allowedWindow); most > allowed {
		t.Errorf("%d requests were admitted in the %v from %v, %d are allowed", most, allowedWindow, at, allowed)
	}
}

// Guards against admissions over a limit, summed over all hosts, while hosts are killed (all of them too), cut off, frozen,
// and while reports are lost or late.
func TestSumOverAllHostsUnderFaults(t *testing.T) {
	// Seed 1087: hosts that had been frozen told the others of a full bucket.
	seeds := []uint64{1087}
	for seed := range uint64(faultSeeds) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			size := rand.New(rand.NewPCG(seed, 2))
			rate, rush := 10+110*size.Float64(), 1+8*size.Float64()
			f, weights := newFaultyFleet(seed, 4+size.IntN(24), rate, (*rand.Rand).ExpFloat64)
			f.playFaults(t, rate*rush, weights)
		})
	}
}

// playFaults offers a rush for faultDay while faults come and go.
func (f *faultyFleet) playFaults(t *testing.T, perSecond float64, weights []float64) {
	rate, rush := f.limit.Rate, perSecond/f.limit.Rate
	t.Logf("%d hosts, limit %.0f/s, offered %.1f times the limit, reports take up to %v", len(f.hosts), rate, rush, f.delay)
	faultAt := 3*time.Second + f.upTo(4*time.Second)
	for ; f.now < faultDay; f.now += faultStep {
		if f.now >= faultAt {
			f.fault(t)
			faultAt = f.now + time.Second + f.upTo(6*time.Second)
		}
		f.talk()
		f.offer(perSecond, weights)
	}
	f.expectBound(t)
}

// Guards against a second burst after all hosts are killed during a rush, however late they hear of each other afterwards,
// and against new processes that refuse most of what the customer may have.
func TestSumAfterRestartOfAllHosts(t *testing.T) {
	const (
		rate    = 51.0
		rushAt  = 6 * time.Second
		restart = time.Second
		until   = 4 * time.Second // after the restart
		least   = 0.6             // of the rate, in this time
	)
	for seed := range uint64(faultSeeds) {
		f, weights := newFaultyFleet(seed, 16, rate, func(r *rand.Rand) float64 { return 0.5 + r.Float64() })
		rush, killAt := 2+8*f.random.Float64(), rushAt+f.upTo(4*time.Second)
		killed, served := false, 0
		for ; f.now < killAt+restart+until; f.now += faultStep {
			if f.now >= killAt && !killed {
				killed = true
				for i := range f.hosts {
					f.start(i, restart+f.upTo(restart/10))
				}
			}
			f.talk()
			if f.now < rushAt {
				f.offer(rate/2, weights)
			} else {
				f.offer(rate*rush, weights)
			}
		}
		for _, at := range f.admitted {
			if at >= killAt+restart {
				served++
			}
		}
		t.Logf("seed %d: %.1f times the limit offered, kill at %v, %d admitted after it", seed, rush, killAt, served)
		f.expectBound(t)
		if float64(served) < least*rate*until.Seconds() {
			t.Errorf("%d requests were admitted after the restart, want at least %.0f", served, least*rate*until.Seconds())
		}
	}
}

package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

// Guards against a host that admits the whole limit because it does not know the other hosts. Beside it, the other hosts admit as
// much. This was seen on the daan deployment with two of four hosts restarted: 376 requests in 5 s, 284 are allowed.
func TestHostAdmitsNothingBeforeItKnowsTheSizeOfTheFleet(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 100}
	now := simulationStart
	l := New()
	if d := l.Admit(now, customer, limit); d.Allowed || !d.Unavailable {
		t.Errorf("the decision of a host that knows nothing is %+v, want unavailable", d)
	}
	if l.WouldAdmit(now, customer, limit) {
		t.Error("WouldAdmit returned true for a host that knows nothing")
	}
	if d := l.Admit(now, customer, Limit{}); !d.Allowed {
		t.Error("a request without a limit was rejected")
	}
	l.ApplyReport(now, "b", []Usage{{Customer: customer}}, func(settings.CustomerID) (Limit, bool) { return limit, true })
	if l.Admit(now, customer, limit).Allowed {
		t.Error("a report of another host let a host admit requests that does not know the size of the fleet")
	}
	l.ExpectHosts(4)
	if admitted := admitFor(l, now, 4*time.Second, limit); admitted > 105 {
		t.Errorf("%d requests were admitted in 4 s by one of 4 hosts with 100/s, want its equal share", admitted)
	} else if admitted < 90 {
		t.Errorf("only %d requests were admitted in 4 s by one of 4 hosts with 100/s, want its equal share", admitted)
	}
	l.ExpectHosts(0)
	if l.Admit(now.Add(5*time.Second), customer, limit).Allowed {
		t.Error("a request was admitted after the size of the fleet was no longer known")
	}
	l.SetHosts(nil)
	l.ExpectHosts(0)
	if !l.Admit(now.Add(6*time.Second), customer, limit).Allowed {
		t.Error("a host that is alone rejected a request within the limit")
	}
}

// admitFor offers 1000 requests per second and returns how many are admitted.
func admitFor(l *Limiter, begin time.Time, d time.Duration, limit Limit) (admitted int) {
	for at := time.Duration(0); at < d; at += time.Millisecond {
		if l.Admit(begin.Add(at), customer, limit).Allowed {
			admitted++
		}
	}
	return admitted
}

// unlistedStart is the start of a host whose reads of the host records fail.
type unlistedStart struct {
	host               int
	expectedAt, listed time.Duration // when it hears the size of the fleet, and when it reads the records
}

// startUnlisted restarts a host. Until it reads the records, it accepts no reports and the others accept none from it.
func (f *faultyFleet) startUnlisted(host int, down, untilExpected, untilListed time.Duration) unlistedStart {
	f.start(host, down)
	p := f.hosts[host]
	p.limiter = New()
	u := unlistedStart{host: host, expectedAt: p.startedAt + untilExpected, listed: p.startedAt + untilListed}
	for j, other := range f.hosts {
		if j == host {
			continue
		}
		p.pendingEpochs[j] = epochChange{other.epoch, u.listed}
		other.pendingEpochs[host] = epochChange{p.epoch, u.listed + f.randomUpTo(f.maxDiscoveryDelay)}
	}
	return u
}

// Guards against admissions over a limit, summed over all hosts, while a part of the hosts or all of them start and the records of
// the hosts cannot be read for up to 10 s. Started hosts hear the size of the fleet from the others, if any are left.
func TestSumWhileHostsStartWithoutHostRecords(t *testing.T) {
	const rush = 6 * time.Second
	for hosts, seeds := range map[int]uint64{2: 12, 4: 12, 16: 12, 48: 2} {
		for seed := range seeds {
			t.Run(fmt.Sprintf("%d hosts, seed %d", hosts, seed), func(t *testing.T) {
				size := rand.New(rand.NewPCG(seed, 4))
				rate, surge, killed := 10+110*size.Float64(), 2+7*size.Float64(), size.Float64()
				if seed%4 == 0 {
					killed = 1
				}
				f, weights := newFaultyFleet(seed, hosts, rate, func(r *rand.Rand) float64 { return 0.5 + r.Float64() })
				f.run(rush, func(time.Duration) float64 { return normalLoad * rate }, weights)
				f.run(f.randomUpTo(2*time.Second), func(time.Duration) float64 { return surge * rate }, weights)
				var starts []unlistedStart
				outage := time.Second + f.randomUpTo(9*time.Second)
				for i := range int(killed * float64(hosts)) {
					down := 200*time.Millisecond + f.randomUpTo(time.Second)
					untilExpected := f.randomUpTo(simulatedHeartbeat)
					if killed == 1 {
						untilExpected = time.Hour // no host knows the size of the fleet
					}
					starts = append(starts, f.startUnlisted(i, down, untilExpected, max(0, outage-down)))
				}
				t.Logf("limit %.0f/s, %.1f times the limit, %d of %d hosts start %v before the records can be read", rate, surge, len(starts), hosts, outage)
				f.run(outage+5*time.Second, func(time.Duration) float64 {
					for _, u := range starts {
						if f.now >= u.expectedAt {
							f.hosts[u.host].limiter.ExpectHosts(hosts)
						}
						if f.now >= u.listed {
							f.hosts[u.host].limiter.SetHosts(otherHosts(u.host, hosts))
						}
					}
					return surge * rate
				}, weights)
				f.checkBound(t)
			})
		}
	}
}

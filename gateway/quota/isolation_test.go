package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

// reportedFleet returns one of several hosts that all have reported each 0.1 s until now, and its time.
func reportedFleet(hosts int, limit Limit, usage func(at time.Duration) []Usage) (l *Limiter, now time.Time) {
	limitOf := func(settings.CustomerID) (Limit, bool) { return limit, true }
	l, now = New(), simulationStart
	others := otherHosts(0, hosts)
	l.SetHosts(others)
	for at := time.Duration(0); at < 2*startupPeriod; at += 100 * time.Millisecond {
		now = simulationStart.Add(at)
		for _, other := range others {
			l.ApplyReport(now, other, usage(at), limitOf)
		}
	}
	return l, now
}

// Guards against an isolated host that rejects everything: in a debt at the begin of a cut, hosts that were cut off admitted nothing
// until its end, although the others subtracted their shares.
func TestIsolatedHostAdmitsItsShareAfterADebt(t *testing.T) {
	const hosts, cut = 4, 10 * time.Second
	limit := Limit{Rate: 40, Burst: 40}
	l, now := reportedFleet(hosts, limit, func(at time.Duration) []Usage {
		count := uint64(30 * at.Seconds()) // three hosts use more than twice the limit
		return []Usage{{Customer: customer, Admitted: count, Requested: count}}
	})
	admitted := admitFor(l, now.Add(10*time.Millisecond), cut, limit)
	if least := int(limit.Rate / hosts * cut.Seconds() * 0.5); admitted < least {
		t.Errorf("%d requests were admitted in %v by one of %d hosts that hears nothing, want at least %d", admitted, cut, hosts, least)
	}
	if most := int(limit.Rate/hosts*cut.Seconds() + limit.capacity()/hosts); admitted > most {
		t.Errorf("%d requests were admitted in %v by one of %d hosts that hears nothing, want at most %d", admitted, cut, hosts, most)
	}
}

// Guards against a host that admits its share on top of what it admitted before it found that it is isolated.
func TestIsolatedHostPaysForWhatItAdmittedBefore(t *testing.T) {
	const hosts = 61
	limit := Limit{Rate: 61, Burst: 61}
	l, now := reportedFleet(hosts, limit, func(time.Duration) []Usage { return []Usage{{Customer: customer}} })
	before := admitFor(l, now.Add(time.Millisecond), isolationTimeout(hosts), limit)
	if before < 20 {
		t.Fatalf("%d requests were admitted before the host was isolated, want 20: the test needs more than a share", before)
	}
	now = now.Add(isolationTimeout(hosts) + 2*time.Millisecond)
	if after := admitFor(l, now, 10*time.Second, limit); after > 0 {
		t.Errorf("%d requests were admitted in 10 s of isolation after %d before, want none: the share is 1/s", after, before)
	}
}

// Guards against the share of a host that is cut off that is subtracted only from the time at which its silence is noticed.
func TestShareOfSilentHostIsSubtractedFromItsLastReport(t *testing.T) {
	const hosts = 5
	limit := Limit{Rate: 50, Burst: 500}
	limitOf := func(settings.CustomerID) (Limit, bool) { return limit, true }
	l, now := reportedFleet(hosts, limit, func(time.Duration) []Usage { return []Usage{{Customer: customer}} })
	const use = 300 * time.Millisecond
	used := admitFor(l, now, use, limit) // so that the bucket does not become full
	for at := use; at <= ReportTimeout+200*time.Millisecond; at += 100 * time.Millisecond {
		for i := 2; i < hosts; i++ {
			l.ApplyReport(now.Add(at), fmt.Sprint("host", i), []Usage{{Customer: customer}}, limitOf)
		}
	}
	elapsed := (ReportTimeout + 200*time.Millisecond).Seconds()
	got := l.Admit(now.Add(ReportTimeout+200*time.Millisecond), customer, limit).Tokens
	if most := limit.capacity() - float64(used) + limit.Rate*elapsed*(1-1.0/hosts) + 1; got > most {
		t.Errorf("%.0f tokens are left %.1f s after the last report of one of %d hosts, want at most %.0f", got, elapsed, hosts, most)
	}
}

// Guards against an estimate that a host makes while it hears from less than half of the others and that others adopt.
func TestHostInMinorityReportsUnsyncedEstimate(t *testing.T) {
	l, now := reportedFleet(5, defaultLimit, func(time.Duration) []Usage { return []Usage{{Customer: customer}} })
	l.Admit(now, customer, defaultLimit)
	if !l.NextReport(now, false)[0].Synced {
		t.Fatal("a host that hears all others reports its estimate as not synced")
	}
	for at := time.Duration(0); at < 2*ReportTimeout; at += 100 * time.Millisecond {
		now = now.Add(100 * time.Millisecond)
		l.Admit(now, customer, defaultLimit)
	}
	if l.NextReport(now, false)[0].Synced {
		t.Error("a host that hears nothing reports its estimate as synced")
	}
	limitOf := func(settings.CustomerID) (Limit, bool) { return defaultLimit, true }
	for at := time.Duration(0); at <= resyncTime; at += 100 * time.Millisecond {
		if at > 0 && at < resyncTime && l.NextReport(now, false)[0].Synced {
			t.Errorf("a host reports its estimate as synced %v after it was in a minority", at)
		}
		now = now.Add(100 * time.Millisecond)
		l.Admit(now, customer, defaultLimit)
		for _, other := range otherHosts(0, 5) {
			l.ApplyReport(now, other, []Usage{{Customer: customer}}, limitOf)
		}
	}
	now = now.Add(100 * time.Millisecond)
	l.Admit(now, customer, defaultLimit)
	if !l.NextReport(now, false)[0].Synced {
		t.Error("a host that hears all others again does not report its estimate as synced")
	}
}

// Guards against a host that wakes from a pause and admits a burst: its estimate of the bucket has grown all that time, while the
// others admitted the whole rate. Reports that waited in its socket, and the first of those after them, do not make up for it (98
// requests in 5 s, 86 are allowed, when 7 of 16 hosts woke at once).
func TestHostThatWakesAdmitsOnlyItsShare(t *testing.T) {
	const hosts, pause = 16, 2100 * time.Millisecond
	limit := Limit{Rate: 8, Burst: 15}
	limitOf := func(settings.CustomerID) (Limit, bool) { return limit, true }
	l, now := reportedFleet(hosts, limit, func(time.Duration) []Usage { return []Usage{{Customer: customer}} })
	now = now.Add(pause)
	admitted := 0
	report := func(host string, count uint64) {
		l.ApplyReport(now, host, []Usage{{Customer: customer, Admitted: count, Requested: count}}, limitOf)
	}
	for _, other := range otherHosts(0, hosts) {
		report(other, 0)
		admitted += admitFor(l, now, 2*time.Millisecond, limit)
	}
	now = now.Add(2 * staleReportTime)
	report("host1", 30) // all that the others have admitted
	admitted += admitFor(l, now, 20*time.Millisecond, limit)
	if admitted > 1 {
		t.Errorf("%d requests were admitted after a pause of %v, want one at most: the share of the burst is %.1f",
			admitted, pause, limit.capacity()/hosts)
	}
	for _, other := range otherHosts(0, hosts)[:hosts/2] {
		now = now.Add(20 * time.Millisecond)
		report(other, 30)
	}
	now = now.Add(10 * time.Millisecond)
	if l.isolated(now) {
		t.Error("a host counts as isolated although half of the others have reported after its pause")
	}
}

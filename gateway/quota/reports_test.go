package quota

import (
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

// largeFleetLimit is the limit of a typical customer of a fleet of 48 hosts.
var largeFleetLimit = Limit{Rate: 20, Burst: 20, Tolerance: 5}

const largeFleetHosts = 48

// Guards against urgent reports about customers that stay within their limits. On the grown sites such reports to all other
// hosts took most of a host's processor time, and runs were aborted.
func TestSteadyUsageSendsFewUrgentReports(t *testing.T) {
	const load, seconds = 0.62, 20
	f := newFleet(t, largeFleetHosts, largeFleetLimit)
	f.run(load*largeFleetLimit.Rate, 10*time.Second)
	f.urgentReports = 0
	_, requested := f.run(load*largeFleetLimit.Rate, seconds*time.Second)
	t.Logf("%d urgent reports for %d requests", f.urgentReports, requested)
	if most := requested / 10; f.urgentReports > most {
		t.Errorf("%d hosts sent %d urgent reports for %d requests, want %d at most", largeFleetHosts, f.urgentReports, requested, most)
	}
}

// Guards against heartbeats that repeat the counts of customers without requests.
func TestUnchangedCountsAreRarelyRepeated(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l := New()
	l.SetHosts([]string{"b"})
	for i := range 20 {
		l.Admit(now, settings.CustomerID(rune('a'+i)), largeFleetLimit)
	}
	if n := len(l.NextReport(now, false)); n != 20 {
		t.Fatalf("the first report holds %d customers, want 20", n)
	}
	reported := 0
	for range 12 {
		now = now.Add(time.Second)
		reported += len(l.NextReport(now, false))
	}
	if reported > 3*20 {
		t.Errorf("unchanged counts were reported %d times in 12 s, want at most three times for each of 20 customers", reported)
	}
	if reported < 2*20 {
		t.Errorf("counts were reported %d times in 12 s, want at least twice for each of 20 customers: a report may be lost", reported)
	}
}

// Guards against over-admission in a surge in a large fleet whose hosts have sent few reports before it.
func TestSurgeInLargeFleetStaysWithinBound(t *testing.T) {
	for _, times := range []float64{1.5, 4, 8, 20} {
		f := newFleet(t, largeFleetHosts, largeFleetLimit)
		f.run(0.62*largeFleetLimit.Rate, 10*time.Second)
		f.run(largeFleetLimit.Rate*times, 12*time.Second)
		t.Logf("%v times the rate offered: at most %d admitted in 5 s, %d are allowed",
			times, f.maxInWindow(5*time.Second), f.allowedInWindow(5*time.Second))
		f.checkBound()
	}
}

// Guards against rejecting requests within the limit in a large fleet.
func TestUsageWithinLimitIsAdmittedInLargeFleet(t *testing.T) {
	f := newFleet(t, largeFleetHosts, largeFleetLimit)
	f.run(0.62*largeFleetLimit.Rate, 5*time.Second)
	admitted, requested := f.run(0.8*largeFleetLimit.Rate, 60*time.Second)
	if admitted != requested {
		t.Errorf("%d of %d requests within the limit were rejected", requested-admitted, requested)
	}
}

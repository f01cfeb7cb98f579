package quota

import (
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

// grown is a usual customer of a fleet of 48 hosts.
var grown = Limit{Rate: 20, Burst: 20, Tolerance: 5}

const grownHosts = 48

// Guards against hosts that report each use of each customer within its limit to all others: on the grown sites these
// reports took most of a host's processor time, and days were given up.
func TestSteadyUseIsReportedSeldom(t *testing.T) {
	const perSecond, seconds = 0.62, 20
	f := newFleet(t, grownHosts, grown)
	f.run(perSecond*grown.Rate, 10*time.Second)
	f.urgent = 0
	_, asked := f.run(perSecond*grown.Rate, seconds*time.Second)
	t.Logf("%d urgent reports for %d requests", f.urgent, asked)
	if most := asked / 10; f.urgent > most {
		t.Errorf("%d hosts sent %d urgent reports for %d requests, want %d at most", grownHosts, f.urgent, asked, most)
	}
}

// Guards against counts of customers that nobody uses in each heartbeat.
func TestUnchangedCountsAreNotRepeated(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l := New()
	l.SetHosts([]string{"b"})
	for i := range 20 {
		l.Admit(now, settings.CustomerID(rune('a'+i)), grown)
	}
	if n := len(l.NextReport(now, false)); n != 20 {
		t.Fatalf("%d uses were told first, want 20", n)
	}
	told := 0
	for range 12 {
		now = now.Add(time.Second)
		told += len(l.NextReport(now, false))
	}
	if told > 3*20 {
		t.Errorf("%d uses were told in 12 s without a request, want each at most three times", told)
	}
	if told < 2*20 {
		t.Errorf("%d uses were told in 12 s, want each twice at least: a report may be lost", told)
	}
}

// Guards against over-admission in a rush in a large fleet whose hosts report seldom before it.
func TestRushInALargeFleetStaysWithinTheBound(t *testing.T) {
	for _, times := range []float64{1.5, 4, 8, 20} {
		f := newFleet(t, grownHosts, grown)
		f.run(0.62*grown.Rate, 10*time.Second)
		f.run(grown.Rate*times, 12*time.Second)
		t.Logf("%v times the rate: at most %d in 5 s, %d are allowed", times, f.mostIn(5*time.Second), f.allowed(5*time.Second))
		f.expectBound()
	}
}

// Guards against refusals within the limit in a large fleet.
func TestUseWithinTheLimitIsAdmittedInALargeFleet(t *testing.T) {
	f := newFleet(t, grownHosts, grown)
	f.run(0.62*grown.Rate, 5*time.Second)
	admitted, asked := f.run(0.8*grown.Rate, 60*time.Second)
	if admitted != asked {
		t.Errorf("%d of %d requests were refused", asked-admitted, asked)
	}
}

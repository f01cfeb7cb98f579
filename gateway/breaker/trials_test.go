package breaker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

// longestGap plays hosts that get repeatable requests at random and try a sick upstream whenever its breaker allows it. Each
// attempt fails after its work. It returns the longest time without an attempt.
func longestGap(seed uint64, hosts, users int, perSecond float64, work time.Duration) time.Duration {
	const (
		step   = 5 * time.Millisecond
		length = 30 * time.Second
		id     = settings.UpstreamID("sick")
	)
	random := rand.New(rand.NewPCG(seed, 0))
	var names []string
	var sets []*Set
	for i := range hosts {
		names = append(names, fmt.Sprint("edge-", i))
	}
	for i := range hosts {
		s := New(names[i])
		s.SetHosts(names)
		sets = append(sets, s)
	}
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tell := func(now time.Time, from int, notices []Notice) {
		for i, s := range sets {
			for _, notice := range notices {
				if i != from {
					s.Receive(now, notice)
				}
			}
		}
	}
	failing := make(map[time.Duration][]int)
	last, longest := time.Duration(0), time.Duration(0)
	for now := time.Duration(0); now < length; now += step {
		at := begin.Add(now)
		for _, host := range failing[now] {
			notices, _ := sets[host].Report(at, id, Broken)
			tell(at, host, notices)
		}
		for host := range users {
			if random.Float64() >= perSecond/float64(users)*step.Seconds() || sets[host].State(at, id, true) == Open {
				continue
			}
			longest, last = max(longest, now-last), now
			tell(at, host, sets[host].BeginTrial(at, id))
			end := now + work.Round(step)
			failing[end] = append(failing[end], host)
		}
	}
	return longest
}

// Guards against an upstream that works again and gets nothing for two seconds, because the next trial waits for the end of
// the last one and for the turns of many hosts, most of which may not use the upstream.
func TestRepeatableTrialsComeWithinTwoSeconds(t *testing.T) {
	for _, c := range []struct {
		hosts, users int
		perSecond    float64
	}{{14, 14, 20}, {16, 16, 40}, {43, 43, 200}, {43, 10, 50}} {
		for seed := range uint64(20) {
			if gap := longestGap(seed, c.hosts, c.users, c.perSecond, 430*time.Millisecond); gap > 2*time.Second {
				t.Errorf("%d hosts, %d of them with requests, %.0f a second, seed %d: no attempt for %v", c.hosts, c.users, c.perSecond, seed, gap)
			}
		}
	}
}

// Guards the floor against trials at upstreams that have failed in the last two seconds, or that another host is trying.
func TestUpstreamMayBeWellTwoSecondsAfterItFailed(t *testing.T) {
	s := New("a")
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s.Report(now, "u", Broken)
	if s.MayHaveRecovered(now.Add(wellAfter-time.Millisecond), "u") {
		t.Error("the upstream may be well too early")
	}
	if !s.MayHaveRecovered(now.Add(wellAfter), "u") {
		t.Error("the upstream may not be well in time")
	}
	s.Receive(now.Add(wellAfter), Notice{Kind: NoticeTrialStarted, Upstream: "u"})
	if s.MayHaveRecovered(now.Add(wellAfter+trialHold/2), "u") {
		t.Error("the upstream is tried by two hosts")
	}
}

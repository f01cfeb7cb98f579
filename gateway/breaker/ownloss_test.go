package breaker

import (
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/settings"
)

// Guards against a host whose own connections were reset and which then opens the breakers of healthy upstreams on all hosts.
// Reported as FLOOR on trouble-3 of the grown daan site.
func TestLocalLossAffectsManyUpstreamsAtOnce(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for name, c := range map[string]struct {
		upstreams []settings.UpstreamID
		apart     time.Duration
		want      bool
	}{
		"connections of the host": {[]settings.UpstreamID{"a", "b", "c", "d"}, time.Millisecond, true},
		"one upstream":            {[]settings.UpstreamID{"a", "a", "a", "a"}, time.Millisecond, false},
		"two upstreams":           {[]settings.UpstreamID{"a", "b", "a", "b"}, time.Millisecond, false},
		"one after the other":     {[]settings.UpstreamID{"a", "b", "c", "d"}, LocalLossWindow + time.Millisecond, false},
	} {
		var o LocalLossDetector
		at := now
		for _, upstream := range c.upstreams {
			at = at.Add(c.apart)
			o.Record(at, upstream)
		}
		if got := o.IsLocal(at); got != c.want {
			t.Errorf("%s: local loss %v, want %v", name, got, c.want)
		}
	}
}

// Guards against memory that grows with every connection break.
func TestLocalLossDetectorDropsOldBreaks(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var o LocalLossDetector
	for i := range 1000 {
		o.Record(now.Add(time.Duration(i)*time.Second), "a")
	}
	if len(o.breaks) > 2 {
		t.Errorf("%d breaks are retained, want at most 2", len(o.breaks))
	}
}

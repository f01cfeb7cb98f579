package gateway

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/bronzeyard/bronzeyard/settings"
)

func configurationWith(version uint64, routes ...string) *Configuration {
	return &Configuration{Snapshot: settings.NewSnapshot(version, nil, nil, nil), Routes: routes}
}

// Guards against log lines that do not show whether the route of a request was added recently.
func TestRouteVersionsRecordWhichVersionAddedARoute(t *testing.T) {
	now := time.Now()
	first, _, _ := newActiveConfiguration(now, configurationWith(3, "a", "b"), nil)
	second, added, removed := newActiveConfiguration(now, configurationWith(5, "b", "c", "d"), first)
	if added != 2 || removed != 1 {
		t.Errorf("%d routes added and %d removed, want 2 and 1", added, removed)
	}
	if b, c := second.routeVersions["b"], second.routeVersions["c"]; b != 3 || c != 5 {
		t.Errorf("route b was added by version %d and route c by version %d, want 3 and 5", b, c)
	}
}

// Guards against a host that does not log for how long it has known of a newer version.
func TestVersionLagMeasuresHowLongTheHostIsBehind(t *testing.T) {
	var n versionLag
	now := time.Now()
	if behind := n.applied(now, 2); behind != 0 {
		t.Errorf("behind by %v without a newer version, want 0", behind)
	}
	n.observe(zerolog.Nop(), now, "b", 3, 2)
	n.observe(zerolog.Nop(), now.Add(time.Second), "c", 4, 2)
	if behind := n.applied(now.Add(2*time.Second), 3); behind != 2*time.Second {
		t.Errorf("behind by %v, want 2 s", behind)
	}
	if behind := n.applied(now.Add(3*time.Second), 4); behind != time.Second {
		t.Errorf("behind by %v since the previous version, want 1 s", behind)
	}
	if behind := n.applied(now.Add(4*time.Second), 5); behind != 0 {
		t.Errorf("behind by %v after the newest version was applied, want 0", behind)
	}
}

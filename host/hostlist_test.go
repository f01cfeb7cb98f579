package host

import (
	"testing"

	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/storage"
	"github.com/bronzeyard/bronzeyard/storage/memory"
)

// Guards against a leaving upstream that still gets requests because the list names it by IP address alone, and against
// leaving upstreams that return to use during an outage of the list.
func TestLeavingList(t *testing.T) {
	list := &memory.HostList{}
	list.Set([]storage.ListedHost{
		{Address: "192.0.2.1", State: storage.HostLeaving},
		{Address: "192.0.2.2:80", State: storage.HostLeaving},
		{Address: "192.0.2.3", State: storage.HostLive},
	})
	l := &leavingList{list: list}
	l.refresh(t.Context())
	list.Faults.SetDown(true)
	l.refresh(t.Context())
	for address, want := range map[string]bool{
		"192.0.2.1:80": true, "192.0.2.2:80": true, "192.0.2.2:81": false, "192.0.2.3:80": false, "192.0.2.4:80": false,
	} {
		if got := l.contains(&settings.Upstream{Address: address}); got != want {
			t.Errorf("%s leaving: %t, want %t", address, got, want)
		}
	}
}

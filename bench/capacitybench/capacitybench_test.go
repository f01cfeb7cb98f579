package capacitybench

import (
	"testing"
	"time"
)

// Guards against a layer that runs without its load: its cost would be measured as 0. Also guards against messages between
// hosts about customers that send requests only to their owner; docs/CAPACITY.md relies on there being none.
func TestLayersCarryTheirLoad(t *testing.T) {
	options := Options{Duration: 400 * time.Millisecond, SettleTime: 200 * time.Millisecond}
	for _, l := range layers() {
		point, err := measureLayer(t.Context(), &options, &l, l.counts[0])
		if err != nil {
			t.Fatalf("%s: %v", l.name, err)
		}
		if noTraffic := point.PeerBytes == 0; noTraffic != (l.name == "rate limits at the owner") {
			t.Errorf("%s: %.0f bytes/s between hosts, want 0 only for rate limits at the owner", l.name, point.PeerBytes)
		}
	}
}

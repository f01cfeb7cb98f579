package capacitybench

import (
	"testing"
	"time"
)

// Guards against a layer that runs without its load, so that it would be measured as free, and against messages about
// customers that are asked for at their owner alone, on which docs/CAPACITY.md relies.
func TestLayersCarryTheirLoad(t *testing.T) {
	options := Options{Duration: 400 * time.Millisecond, SettleTime: 200 * time.Millisecond}
	for _, l := range layers() {
		point, err := measureLayer(t.Context(), &options, &l, l.counts[0])
		if err != nil {
			t.Fatalf("%s: %v", l.name, err)
		}
		if silent := point.PeerBytes == 0; silent != (l.name == "rate limits at the owner") {
			t.Errorf("%s: %.0f bytes/s between hosts", l.name, point.PeerBytes)
		}
	}
}

package gossip

import (
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/gossip/gossippb"
	"github.com/bronzeyard/bronzeyard/settings"
)

// WarmUp is a statement of an upstream that it is cold.
type WarmUp struct {
	Upstream settings.UpstreamID
	// Until is the end of the warm-up. It is not after StatedAt if the upstream is not cold.
	Until, StatedAt time.Time
}

func encodeWarmUps(now time.Time, warmUps []WarmUp) []*gossippb.WarmUp {
	encoded := make([]*gossippb.WarmUp, len(warmUps))
	for i, warmUp := range warmUps {
		encoded[i] = &gossippb.WarmUp{
			Upstream: string(warmUp.Upstream), LeftMs: uint32(max(0, warmUp.Until.Sub(now).Milliseconds())),
			AgeMs: uint32(max(0, (now.Sub(warmUp.StatedAt) + transitTime).Milliseconds())),
		}
	}
	return encoded
}

func decodeWarmUps(now time.Time, encoded []*gossippb.WarmUp) []WarmUp {
	warmUps := make([]WarmUp, len(encoded))
	for i, warmUp := range encoded {
		statedAt, until := now.Add(-time.Duration(warmUp.GetAgeMs())*time.Millisecond), time.Time{}
		if left := warmUp.GetLeftMs(); left > 0 {
			until = now.Add(time.Duration(left) * time.Millisecond)
		}
		warmUps[i] = WarmUp{Upstream: settings.UpstreamID(warmUp.GetUpstream()), Until: until, StatedAt: statedAt}
	}
	return warmUps
}

package gossip

import (
	"math"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/breaker"
	"github.com/bronzeyard/bronzeyard/gateway/gossip/gossippb"
	"github.com/bronzeyard/bronzeyard/gateway/quota"
	"github.com/bronzeyard/bronzeyard/gateway/registry"
	"github.com/bronzeyard/bronzeyard/settings"
)

// encodeContent adds content to a datagram and returns the datagram.
func encodeContent(m *gossippb.Datagram, c content) *gossippb.Datagram {
	for _, notice := range c.notices {
		m.Notices = append(m.Notices, encodeNotice(notice))
	}
	for _, report := range c.loads {
		m.Loads = append(m.Loads, &gossippb.Load{Upstream: string(report.Upstream), Percent: uint32(100 * report.Load)})
	}
	m.WarmUps = encodeWarmUps(time.Now(), c.warmUps)
	m.Uses, m.Retries = encodeUsage(c.usage), encodeUsage(c.retryUsage)
	return m
}

// encodeServed returns the count of served requests as a datagram carries it, 0 if it is not to be reported.
func encodeServed(requests int, report bool) uint32 {
	if !report {
		return 0
	}
	return uint32(min(max(0, requests), math.MaxUint32-1)) + 1
}

func toHundredths(score float64) uint32 { return uint32(math.Round(100 * max(0, score))) }

func encodeNotice(notice breaker.Notice) *gossippb.Notice {
	return &gossippb.Notice{
		Kind: uint32(notice.Kind), Upstream: string(notice.Upstream), Sample: uint32(notice.Sample),
		SilenceBefore: toHundredths(notice.Overdue.Previous), SilenceNow: toHundredths(notice.Overdue.Current),
	}
}

func decodeNotice(notice *gossippb.Notice) breaker.Notice {
	return breaker.Notice{
		Kind: breaker.NoticeKind(notice.GetKind()), Upstream: settings.UpstreamID(notice.GetUpstream()),
		Sample: breaker.Sample(notice.GetSample()),
		Overdue: breaker.OverdueUpdate{
			Previous: float64(notice.GetSilenceBefore()) / 100, Current: float64(notice.GetSilenceNow()) / 100,
		},
	}
}

func encodeUsage(usage []quota.Usage) []*gossippb.Use {
	encoded := make([]*gossippb.Use, len(usage))
	for i, use := range usage {
		encoded[i] = &gossippb.Use{
			Customer: string(use.Customer), Admitted: use.Admitted, Asked: use.Requested, Tokens: use.Tokens,
			Settled: use.Synced,
		}
	}
	return encoded
}

func decodeUsage(encoded []*gossippb.Use) []quota.Usage {
	usage := make([]quota.Usage, len(encoded))
	for i, use := range encoded {
		usage[i] = quota.Usage{
			Customer: settings.CustomerID(use.GetCustomer()), Admitted: use.GetAdmitted(), Requested: use.GetAsked(),
			Tokens: use.GetTokens(), Synced: use.GetSettled(),
		}
	}
	return usage
}

func encodeRegistry(m *gossippb.Datagram, state RegistryState) {
	m.RegistryDigest, m.RegistrySettled, m.RegistryEra = state.Digest, state.Synced, state.Era
	m.RegistryAgeMs = uint32((state.Age + transitTime).Milliseconds())
	if !state.Synced {
		m.RegistryGraceLeftMs = uint32(max(0, state.GraceLeft).Milliseconds())
	}
	if state.Delta == nil {
		return
	}
	delta := &gossippb.RegistryDelta{Base: state.Delta.Base, Version: state.Version}
	readAt := time.Now().Add(-state.Age)
	for i := range state.Delta.Put {
		entry := &state.Delta.Put[i]
		u := &entry.Upstream
		delta.Put = append(delta.Put, &gossippb.Upstream{
			Id: string(u.ID), Service: string(entry.Service), Address: u.Address, DataCentre: u.DataCentre,
			Slots: uint32(max(0, u.Slots)), Leaving: u.Leaving, WarmMs: uint32(max(0, u.WarmUntil.Sub(readAt)).Milliseconds()),
			Incarnation: u.Incarnation, Written: entry.Written,
		})
	}
	for _, id := range state.Delta.Removed {
		delta.Removed = append(delta.Removed, string(id))
	}
	m.RegistryDelta = delta
}

func decodeRegistry(m *gossippb.Datagram) RegistryState {
	state := RegistryState{
		Digest: m.GetRegistryDigest(), Age: time.Duration(m.GetRegistryAgeMs()) * time.Millisecond,
		Synced: m.GetRegistrySettled(), GraceLeft: time.Duration(m.GetRegistryGraceLeftMs()) * time.Millisecond,
		Version: m.GetRegistryDelta().GetVersion(), Era: m.GetRegistryEra(),
	}
	if m.GetRegistryDelta() == nil {
		return state
	}
	state.Delta = &registry.Delta{Base: m.GetRegistryDelta().GetBase()}
	readAt := time.Now().Add(-state.Age)
	for _, put := range m.GetRegistryDelta().GetPut() {
		u := settings.Upstream{
			ID: settings.UpstreamID(put.GetId()), Address: put.GetAddress(), DataCentre: put.GetDataCentre(),
			Slots: int(put.GetSlots()), Leaving: put.GetLeaving(), Incarnation: put.GetIncarnation(),
		}
		if warm := put.GetWarmMs(); warm > 0 {
			u.WarmUntil = readAt.Add(time.Duration(warm) * time.Millisecond)
		}
		state.Delta.Put = append(state.Delta.Put, registry.Entry{
			Service: settings.ServiceName(put.GetService()), Upstream: u, Written: put.GetWritten(),
		})
	}
	for _, id := range m.GetRegistryDelta().GetRemoved() {
		state.Delta.Removed = append(state.Delta.Removed, settings.UpstreamID(id))
	}
	return state
}

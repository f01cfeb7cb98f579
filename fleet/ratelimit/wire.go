package ratelimit

import (
	"time"

	"github.com/bronzeyard/bronzeyard/fleet/ratelimit/ratelimitpb"
)

func reportMessage(customer string, r *Report) *ratelimitpb.Report {
	return &ratelimitpb.Report{
		Customer: customer, Seq: r.Seq, Rate: r.Rate, Burst: r.Burst, Cap: r.Cap, Borrowed: r.Borrowed,
		Returned: r.Returned, Need: r.Need, Want: r.Want, Demand: r.Demand,
	}
}

func reportFromMessage(m *ratelimitpb.Report) Report {
	return Report{
		Seq: m.GetSeq(), Rate: min(m.GetRate(), WholeShare), Burst: min(m.GetBurst(), WholeShare),
		Cap: min(m.GetCap(), WholeTokens), Borrowed: min(m.GetBorrowed(), WholeTokens),
		Returned: min(m.GetReturned(), WholeTokens), Need: min(m.GetNeed(), WholeTokens),
		Want: min(m.GetWant(), WholeTokens), Demand: sanitizeDemand(m.GetDemand()),
	}
}

// sanitizeDemand replaces values that are not positive, NaN included, by 0 and limits the others.
func sanitizeDemand(demand float32) float32 {
	const maxDemand = 1e9
	if demand > 0 {
		return min(demand, maxDemand)
	}
	return 0
}

func grantMessage(g *Grant) *ratelimitpb.Grant {
	return &ratelimitpb.Grant{
		Seq: g.Seq, Stale: g.Stale, Rate: g.Rate, Burst: g.Burst, Tokens: g.Tokens, Borrowed: g.Borrowed,
		// Rounded down: the slice must not stay valid at the holder for longer than the owner counts it.
		LifeMs:       uint32(g.TTL / time.Millisecond),
		RetryAfterUs: uint32(g.RetryAfter / time.Microsecond),
		NotGranting:  g.NotGranting,
		Confirm:      g.Confirm,
		Refilling:    g.Refilling,
	}
}

func grantFromMessage(m *ratelimitpb.Grant) Grant {
	return Grant{
		Seq: m.GetSeq(), Stale: m.GetStale(), Rate: min(m.GetRate(), WholeShare), Burst: min(m.GetBurst(), WholeShare),
		Tokens: min(m.GetTokens(), WholeTokens), Borrowed: min(m.GetBorrowed(), WholeTokens),
		TTL:         min(time.Duration(m.GetLifeMs())*time.Millisecond, SliceTTL),
		RetryAfter:  time.Duration(m.GetRetryAfterUs()) * time.Microsecond,
		NotGranting: m.GetNotGranting(),
		Confirm:     m.GetConfirm(),
		Refilling:   m.GetRefilling(),
	}
}

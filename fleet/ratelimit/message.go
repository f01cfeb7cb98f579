package ratelimit

import "time"

// Units of the messages.
const (
	// WholeShare is the customer's whole rate, and the whole burst, in the unit of shares.
	WholeShare = 1_000_000
	// WholeTokens is the customer's whole burst in the unit in which tokens are moved.
	WholeTokens = 1_000_000_000
)

// Durations of the protocol.
const (
	// SliceLife is how long a member's slice lasts without renewal after the epoch in which it was granted has ended, and in
	// which a new owner can count on the end of slices that were not reported to it.
	SliceTTL = 10 * time.Second
	// KeptLife is how long it lasts without renewal while that epoch goes on. Nobody takes the place of a lost owner while the
	// table is down, so slices outlast an outage of hours. The owner gets back what a lost holder had when the epoch
	// leaves it out. Guests' slices are not kept.
	SameEpochSliceTTL = 12 * time.Hour
	// BorrowLife is how long borrowed tokens last. It is short because the owner cannot lend them again until then.
	BorrowTTL = 100 * time.Millisecond
	// Margin is how much longer than the holder the owner counts what it lent, for drift between their clocks.
	ClockDriftMargin = 500 * time.Millisecond
	// RenewInterval is the time between two renewals of a slice. Renewing every 2 s while demand is steady saved 30% of the
	// messages in fleetbench, but the worst share on home sets fell from 99.2% to 97.7%.
	RenewInterval = 500 * time.Millisecond
	// BorrowWait is the longest wait of a request for borrowed tokens.
	BorrowTimeout = 50 * time.Millisecond
	// emptyLoanLife is how long an owner remembers a holder without a slice after its last report.
	emptyLoanTTL = 10 * time.Second
	// HandoverWait is the longest wait of a request whose customer has no slice on this host while the ownership changes
	// hands. After a join all members have reported to the new owner within about half of it.
	HandoverTimeout = 600 * time.Millisecond
	// handoverWindow is the time after a new epoch in which a request waits for the owner of its customer.
	handoverWindow = 5 * time.Second
	// handoverRetry is the time between two tries meanwhile.
	handoverRetryInterval = 50 * time.Millisecond
	// maxHandoverWaiters bounds the requests that wait on one host, so that a lost owner does not pile them up.
	maxHandoverWaiters = 512
	// fewHandoverWaiters is the number of waiting requests up to which a customer may take any of these places. The half that
	// is kept for such customers has room for eight of them.
	customerWaitersSoftLimit = 32
)

// Report is what a holder tells the owner of a customer: all that it holds at the moment of sending. From that moment
// it takes no grant that answers an older report.
type Report struct {
	// Seq grows with each report of a holder's process.
	Seq uint64
	// Rate and Burst are the holder's slice, in shares.
	Rate, Burst uint32
	// Cap bounds the tokens of the slice until the report is answered or given up, in billionths of the burst.
	Cap uint32
	// Borrowed are the unexpired borrowed tokens, in billionths of the burst.
	Borrowed uint32
	// Returned are tokens that the holder gives back with this report, in billionths of the burst.
	Returned uint32
	// Need is how much the holder must borrow to admit one request, and Want how much it would like to borrow, in
	// billionths of the burst. Both are 0 if it does not borrow.
	Need, Want uint32
	// Demand is the measured demand at the holder in requests per second.
	Demand float32
}

// Grant is the owner's answer to a report.
type Grant struct {
	// Seq is the sequence number of the report. Stale is true if the owner has seen it or a later one; the grant is then
	// empty and must not be applied.
	Seq   uint64
	Stale bool
	// Rate and Burst are the new slice, in shares.
	Rate, Burst uint32
	// Tokens are moved into the slice, Borrowed into the borrowed tokens, in billionths of the burst.
	Tokens, Borrowed uint32
	// Life is how long the slice lasts from the moment at which the report was sent.
	TTL time.Duration
	// NotGranting is true while the owner follows another and grants nothing new.
	NotGranting bool
	// Confirm is true if the owner is short of burst and wants a report as soon as the borrowed tokens are used.
	Confirm bool
	// RetryAfter is set if nothing could be borrowed: the time until a token is due in the reserve.
	RetryAfter time.Duration
	// Refilling is true while the reserve may lack tokens only because it did not start full: that nothing can be borrowed does
	// not show then that the customer is over its limit.
	Refilling bool
}

// empty reports whether the holder holds nothing and asks for nothing.
func (r *Report) empty() bool {
	return r.Rate == 0 && r.Burst == 0 && r.Borrowed == 0 && r.Want == 0 && r.Demand == 0
}

// empty reports whether the grant lends nothing.
func (g *Grant) empty() bool {
	return g.Rate == 0 && g.Burst == 0 && g.Tokens == 0 && g.Borrowed == 0
}

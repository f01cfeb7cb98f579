// Package quota limits each customer's requests, summed over all hosts, by a rate and a burst.
//
// Every host keeps one token bucket per active customer. It takes one token for each request that it admits and for each
// request that other hosts report to have admitted. Reports hold cumulative counts, so a lost report only delays the update.
// Between two reports, several hosts may admit requests for the same token. A bucket that is low is therefore divided:
// while it holds fewer tokens than the other hosts may have taken without having reported it yet, a host admits only its
// share of the rate. The share is the host's fraction of the total demand.
//
// These shares add up to the rate, so they leave the tokens in the bucket that it holds when it becomes low: up to half of its
// capacity, because the others may have taken as many. Once the bucket has been low for as long as reports take, the tokens that are
// left are a surplus. The hosts spend it, by shares too and within a few tenths of a second, until a fiftieth of the capacity is left.
// They leave it unspent while more than a tenth of the other hosts do not report and for some seconds afterwards, because the hosts'
// estimates may differ then. This adds no messages, and one time (24 bytes) to the state of each customer: 6 MB for 250,000 customers.
//
// Between reports, the limiter predicts that a host continues at the rate that its reports show. Each host also computes
// what the others predict of it. It sends an urgent report if that prediction is wrong by several requests or if the bucket
// is low. Other changes are sent with the heartbeat.
//
// A host counts as isolated if it receives no report for a time that follows from the size of the fleet, or if less than half of
// the other hosts report to it. From its last evidence of the others on, it admits no more than its equal share: what it has admitted
// beyond that before it found that it is isolated is subtracted from the share. A host without a report for ReportTimeout is assumed
// to have used an equal share of the rate since its last report. The shares of both sides of a cut thus add up to the rate.
//
// A process that has just started, has just been paused or has just heard from less than half of the others does not know
// what they have admitted, and marks its estimates as not synced. After a start, it begins with a part of the tokens and adopts
// lower estimates of synced hosts.
//
// A host that has started and does not know the other hosts admits nothing of a limit. If they report the size of the fleet, it
// admits an equal share without a part of the burst: that is what they assume of a host that does not report.
//
// The package does no I/O and takes the time as an argument.
package quota

// Package quota limits each customer's requests, summed over all hosts, by a rate and a burst.
//
// Every host keeps one token bucket per active customer. It takes one token for each request that it admits and for each
// request that other hosts report to have admitted. Reports hold cumulative counts, so a lost report only delays the update.
// Between two reports, several hosts may admit requests for the same token. A bucket that is low is therefore divided:
// while it holds fewer tokens than the other hosts may have taken without having reported it yet, a host admits only its
// share of the rate. The share is the host's fraction of the total demand.
//
// Between reports, the limiter predicts that a host continues at the rate that its reports show. Each host also computes
// what the others predict of it. It sends an urgent report if that prediction is wrong by several requests or if the bucket
// is low. Other changes are sent with the heartbeat.
//
// A host counts as isolated if it receives no report for some tenths of a second (longer in a small fleet), or if less than
// half of the other hosts report to it. It then admits only its share. Otherwise each of several isolated hosts would spend
// the whole burst. A host without a report for ReportTimeout is assumed to use an equal share of the rate. A host that
// receives no reports at all thus admits its equal share, and all shares together never exceed the rate.
//
// A process that has just started or has just been paused does not know what the other hosts have admitted, and marks its
// estimates as not synced. After a start, it begins with a part of the tokens and adopts lower estimates of synced hosts.
//
// A host that has started and does not know the other hosts admits nothing of a limit. If they report the size of the fleet, it
// admits an equal share without a part of the burst: that is what they assume of a host that does not report.
//
// The package does no I/O and takes the time as an argument.
package quota

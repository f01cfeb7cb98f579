// Package quota bounds each customer's requests over all hosts together by its rate and burst.
//
// Every host keeps one token bucket per customer in use and takes from it what it admits itself and what the other hosts
// report to have admitted. Reports are cumulative counts, so a lost one only delays. Between two reports hosts may admit
// the same tokens, so a bucket that is low is shared: below the guard a host admits only at its own part of the rate,
// which is its part of the demand of all hosts.
//
// Between reports a host is predicted to go on at the rate that follows from them. It knows what the others predict, and
// reports soon where that is wrong by some requests, or where the bucket is low; other changes go with the heartbeat.
//
// A host that hears nobody for some tenths of a second admits its part only, at once: each of several hosts that are cut
// off would otherwise spend the whole burst. A host that has not been heard for SilentAfter counts as using an equal part
// of the rate. A host that hears nobody thus admits its equal part, and all parts together never exceed the rate.
//
// A process that started or was paused lately does not know what the others have admitted. It starts with a part of the
// tokens, takes over the views of hosts that have run for longer, and does not tell its own.
//
// The package does no I/O and takes the time as an argument.
package quota

// Package breaker keeps one circuit breaker for each upstream, fed by the attempts of all hosts.
//
// A host sends an upstream far less than one request a second, so it shares each bad sample with the other hosts, and all
// reach the same state within the time of a message. Bad samples add strikes, which decay; a breaker opens at one strike.
// A broken answer counts as a whole strike, because healthy upstreams give none; an error status counts as a part of one,
// because they give some.
//
// An attempt without an answer adds strikes as it grows older than most good answers (Silence), and the answer takes them
// back. Hosts of the own data centre are told of each step, because they send an upstream most of its requests; the others are
// told when a breaker opens by it. Answers close a breaker that silence alone has opened.
//
// An open breaker lets nothing through for its hold. Then one host at a time makes a trial: hosts are ranked by a hash of
// upstream and host, each rank waits a little longer than the one before, and a host that starts a trial says so. Two
// trials in a row that succeed close the breaker everywhere, because a sick upstream answers some requests; one that fails opens it
// for a longer hold.
//
// Connections that break to several upstreams at once are a loss of this host, which OwnLoss recognises.
//
// The package does no I/O and takes the time as an argument. What a Set tells other hosts is returned as Notices.
package breaker

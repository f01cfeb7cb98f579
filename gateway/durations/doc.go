// Package durations estimates the distribution of the durations of successful responses of a service. With it, the age of an
// attempt without a response can be scored: the older the attempt is compared with most responses, the less likely it is that
// a response will arrive.
//
// Durations of requests are approximately log-normally distributed. A Model therefore keeps the mean and the variance of their
// logarithms for each route, over a bounded number of the most recent samples. A small share of responses is assumed to be much
// later than this distribution predicts, because a few requests always are. Before there are samples, the target latency of
// the route serves as the prior: nearly all successful responses are assumed to arrive within it. A route without a target
// latency uses the distribution of the whole service until it has samples of its own.
//
// A sketch or a histogram would follow any distribution, but needs hundreds of samples for the tail, which is the part that
// matters here. A host in a fleet of hundreds sees about one response per second and route.
//
// The package does no I/O and reads no clock.
package durations

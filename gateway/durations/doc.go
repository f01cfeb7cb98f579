// Package durations learns how long the good answers of a service take, so that the age of an attempt without an answer
// can be weighed: an attempt that is older than most answers is a sign that none will come.
//
// Durations of requests are close to log-normally distributed, so a Model keeps the mean and the variance of their
// logarithms for each route, over a bounded number of the newest samples. A small share of answers is taken to be much
// later than the distribution says, because a few requests always are. Before there are samples, the time within which the
// operator wants answers stands for the durations of a route: nearly all good answers are taken to come within it. Routes
// without such a target use the distribution of
// the whole service until they have samples of their own.
//
// A sketch or histogram would follow any shape, but needs hundreds of samples for the tail that decides here. A host in a
// fleet of hundreds sees one answer of a route in a second.
//
// The package does no I/O and reads no clock.
package durations

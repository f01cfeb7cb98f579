// Package hedge decides whether a hedged attempt may start: a second attempt of an idempotent request while the first still runs.
//
// It is designed for 450,000 requests per second over 4,900 hosts and 2,100 services, that is, for hosts that receive from one request
// in 25 s to some hundred per second of a service. The operators' limit is a percentage of the requests of a service over the whole
// fleet. A host knows only its own requests and exchanges no messages about hedges. Two rules on each host keep the sum within the limit:
//
//   - Each request earns the limit as credit and a hedge costs 1. Credit starts at 0 and is bounded, so that the hedges of a host,
//     and of any number of hosts, are at most the limit times the requests since they started.
//   - In Window, a host hedges at most the limit times its requests of that time, rounded at random. Without rounding up, a host with
//     few requests would never hedge. If it was always rounded up, a slow upstream would make every host spend one hedge at the same
//     time, and hosts with few requests would exceed the limit together. With random rounding, the mean over the hosts is the limit.
//
// With a limit, hedges also yield to a service without free upstreams, to waiting requests, and to retries, in this order.
package hedge

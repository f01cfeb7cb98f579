// Package fleetbench measures the fleet's rate limits. It runs the real Limiter of every host of a deployment in one
// process under open-loop load with fixed seeds. Calls between hosts are made in memory with the deployment's latencies.
// The membership is scripted: an epoch that excludes lost hosts is issued 4 s after the loss, and what they held may be
// taken over 2 s later (design section 3).
//
// Outside a testing/synctest bubble Run takes real time. Inside one it takes fake time: results then do not depend on the
// machine and do not include the running time of the code itself.
package fleetbench

// Package fleetbench measures the fleet's rate limits: the real Limiter of every host of a deployment in one process, over
// calls in memory with the deployment's latencies, under open-loop load with fixed seeds. The membership is scripted: an
// epoch that excludes lost hosts is issued 4 s after the loss, and what they held is free 2 s later (design section 3).
//
// Outside a testing/synctest bubble Run takes real time. Inside one it takes fake time: results then do not depend on the
// machine, and the time that the code itself takes is not part of them.
package fleetbench

// Package queue limits the requests of one service that one host has in flight, and lets further requests wait in a short
// queue that is fair among customers.
//
// Waiting requests are served by weighted deficit round robin over customers, so a customer that sends many times its share
// delays only itself. When the queue is full, a new request displaces the newest request of the customer with the most waiting
// requests relative to its weight, if the new request's customer would still have fewer. A request that is not expected to
// meet its deadline is rejected immediately. All rejections happen before anything is sent to an upstream.
//
// Line holds the waiting requests. It has no locks and no clock, and is also used by dispatchers, which add priorities.
//
// Queue uses time.Now and therefore runs in fake time within testing/synctest. It starts no goroutines and is safe for
// concurrent use.
package queue

// Package queue limits the requests of one service that one host has in flight, and lets further requests wait in a short
// queue that is fair among customers.
//
// Waiting requests are served by weighted deficit round robin over customers, so a customer that sends many times its share
// delays only itself. When the queue is full, a request of a customer that occupies less than its share displaces the newest
// request of the customer that occupies the most. A request that is not expected to meet its deadline is rejected
// immediately. All rejections happen before anything is sent to an upstream.
//
// Queue uses time.Now and therefore runs in fake time within testing/synctest. It starts no goroutines and is safe for
// concurrent use.
package queue

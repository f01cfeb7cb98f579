// Package queue bounds the requests of one service that one host has in flight, and lets further requests wait in a short
// queue that is fair by customer.
//
// Waiting requests are served by deficit round robin over customers, weighted by the customer's weight, so a customer that sends
// many times its share delays only itself. When the queue is full, a request of a customer that holds less than its share
// displaces the newest request of the customer that holds the most. A request whose expected wait exceeds the time left
// until its deadline is refused at once. All refusals happen before anything is sent to an upstream.
//
// Queue uses time.Now, so that it runs in fake time within testing/synctest. It starts no goroutines and is safe for
// concurrent use.
package queue

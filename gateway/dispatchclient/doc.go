// Package dispatchclient asks the dispatchers of services for slots of upstreams, on behalf of the requests of one host.
//
// An Acquire call asks the dispatcher of the home data centre of the service, and those of the other data centres if it has no free
// slot. The first grant is used, and the others are returned. A dispatcher that does not reply within some tens of milliseconds costs
// the request that time. Then the host places the request itself. After two such requests in a row, the host asks the next dispatcher
// in the order of Rank for a second.
//
// Messages are datagrams and may be lost. A grant that arrives too late is released as unused, and a queued request is asked again
// four times a second, which also detects that its dispatcher has stopped.
//
// It is designed for hosts with 100 requests per second, of which up to 1,000 wait for a slot at the same time.
package dispatchclient

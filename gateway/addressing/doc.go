// Package addressing selects the addresses that a caller receives, so that hosts of different capacity get callers in proportion to it.
//
// It is designed for data centres with up to 700 live hosts, of which some have seven times the processor share or twenty times the
// bandwidth of others, and for callers that pick one of the addresses of their list at random for each new connection. Where the
// hosts are about alike, nothing is selected and all of them are listed.
//
// The lists result from weighted rendezvous hashing over the caller's address and the hosts. Hosts with the same view of the fleet
// return the same list to a caller, without messages, and a host that starts or ends changes one address of a list at most. Lists do
// not depend on the loads of hosts: if they did, the callers of a busy host would move together.
//
// The package does no I/O and starts no goroutines. It takes the time as an argument.
package addressing

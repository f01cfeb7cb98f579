// Package signals keeps what upstreams ask of this host in their responses: that they leave and must receive no further request, or that
// they want no requests for some time. The load that it answers: an upstream that is full, or that was started again and is full at once,
// while requests come in groups.
//
// A response does not name the process that has sent it. An upstream may be started again under its ID, and until this host reads the new
// entry it takes the responses of the new process for those of the process before. A signal therefore applies to all processes with the ID
// and the address, except those of which the entries show that they were started after the response: an earlier process was listed for so
// long after the response that it must still have run at that time. A signal that a process may have inherited wrongly is in force for a
// bounded time, at most that for which the upstream asked; that an upstream leaves applies to another process until the entry of that
// process must state it, or have gone, if it is true.
//
// The package does no I/O and takes the time as an argument.
package signals

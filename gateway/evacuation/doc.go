// Package evacuation keeps the set of data centres whose upstreams must receive no requests. It does no I/O and takes the time as an
// argument.
//
// It is designed for 4,900 hosts in up to some tens of data centres, of which a few are evacuated. Each host learns the set from its
// own reads of the store or from any other host, in any order, and must apply a change within 5 s of its acknowledgement. The set is
// therefore absolute and has the version of the store at which it was read: the newest version wins, and no message depends on an
// earlier one. It has no effect while no data centre is evacuated.
package evacuation

// Package storage defines the services that the platform provides: a transactional table, an object store and a list
// of hosts. Implementations live in subpackages: one for each wire format, and one in memory.
//
// Reads from the table are strongly consistent. A write whose response was lost may still have taken effect; Transact
// reports this as ErrUnknownOutcome, and TransactOnce resolves it by reading the write id back. Every call takes a
// context and must honour its deadline.
package storage

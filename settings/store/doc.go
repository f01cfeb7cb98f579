// Package store keeps the revisions of the settings in the platform's services.
//
// # Stored items
//
// The row "settings"/"head" has the newest revision as its version. Each revision has one row in a partition of 1,000 of
// the change log and one in the audit log; each change id has a row. A change is one transaction over these four: the
// change id row with condition absent goes first, so that a lost answer is resolved by reading back a row that is never
// overwritten. Edits of more than 128 KiB are stored as an object, and the log row has its name. About every 100
// changes the tree is written to the object store as chunks that are named by their hash, so that unchanged chunks are
// not written again; the row "settings"/"manifest" lists the chunks of the newest one. The log is not trimmed, and chunks
// are not deleted.
//
// # Conflicts
//
// A change with an old base revision is merged if no path of it lies within, or contains, a path that was changed since,
// and the merged tree is valid. Otherwise it is refused with a *ConflictError that names what was changed.
//
// # Revisions
//
// The revision in force only grows. A row or snapshot that does not decode, apply or validate is refused with its path,
// and the last good revision stays in force; Status reports it. A newer snapshot or a peer's transfer gets a host past a
// damaged row.
//
// A Store is safe for concurrent use and starts no goroutine; the host calls Poll.
package store

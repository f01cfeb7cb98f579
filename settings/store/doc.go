// Package store keeps the revisions of the settings in the platform's table and object store.
//
// # Stored items
//
// The version of the row "settings"/"head" is the newest revision. Each revision has one row in the change log and one in
// the audit log; both logs are partitioned by 1,000 revisions. Each change id has a row of its own. A change is one
// transaction over these four rows. The row of the change id goes first, with the condition that it is absent: it is never
// overwritten, so reading it back shows the outcome of a write whose response was lost. Edits of more than 128 KiB are
// stored as an object, and the log row contains the object's name.
//
// About every 100 changes, the tree is written to the object store as chunks. A chunk is named by the hash of its content,
// so unchanged chunks are not written again. The row "settings"/"manifest" lists the chunks of the newest snapshot. The log
// is not trimmed, and chunks are not deleted.
//
// # Conflicts
//
// A change with an outdated base revision is merged if the merged tree is valid and no path of the change equals, contains
// or lies within a path that was changed after the base. If paths overlap, the change is rejected with a *ConflictError that
// lists the conflicting changes. A base more than 10,000 revisions behind is rejected with ErrBadChange.
//
// # Revisions
//
// The active revision never decreases. A row or snapshot that does not decode, apply or validate is rejected with an error
// that names its location. The last good revision stays active, and Status reports the fault. A newer snapshot or a
// transfer from a peer lets a host continue past a damaged row.
//
// A Store is safe for concurrent use and starts no goroutine; the host calls Poll.
package store

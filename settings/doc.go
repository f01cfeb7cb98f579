// Package settings holds the tree of settings of a fleet: its schema, strict decoding, validation, inheritance and the
// effective Snapshot that traffic reads. It does no I/O; package store keeps revisions in the platform's services.
//
// # Levels
//
// A policy value is looked up in the branches fleet, data centre, service, service at a data centre, route; a later one
// takes precedence. Explain names the branch from which each effective value came. Values that only make sense for a
// whole service (floor, queue length, headers, health path) are refused on routes, and the floor is refused below the
// fleet level except on a service, because ejection uses one floor for the whole fleet.
//
// # Paths
//
// A path names one place in the tree by its member names joined with "/", for example
// "services/intake/routes/check-in/policy/timeout". Edits, faults, conflicts, explain and audit use the same paths. Names
// have 1 to 64 characters out of letters, digits, ".", "_" and "-", so that no name contains the separator.
//
// # Edits
//
// A Tree is never changed in place: Apply returns a new one that shares the unchanged branches. A withdrawn key can't be
// made valid again, and the hash of a key can't be replaced.
//
// What is computed from a tree (the index of keys, the effective services) is handed on to the trees that Apply makes from
// it, and Validate looks only at what the edits may have affected. A test compares both with the whole tree.
//
// # Limits
//
// MaxDocumentBytes, MaxCustomers, MaxServices, MaxUpstreams, MaxRoutes and MaxKeysPerCustomer bound the tree; they are at
// least four times the design target. The depth is bounded by the schema, which has no recursive type.
package settings

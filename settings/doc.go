// Package settings defines the settings tree of a fleet: its schema, strict decoding, validation, inheritance and the
// effective Snapshot that is used to serve requests. It does no I/O; package store keeps revisions in the platform's
// services.
//
// # Levels
//
// A policy value can be set at five levels: fleet, data centre, service, service at a data centre, and route. A later
// level in this list takes precedence. Explain returns the level that sets each effective value. Values that only apply
// to a whole service (floor, queue length, shed statuses, headers, health path) are rejected on routes. The floor is only
// accepted at the fleet level and on a service, because ejection uses one floor per service in the whole fleet.
//
// # Paths
//
// A path identifies a value of the tree by its member names joined with "/", for example
// "services/intake/routes/check-in/policy/timeout". Edits, field errors, conflicts, Explain and the audit log use the
// same paths. A name has 1 to 64 characters, which are letters, digits, ".", "_" or "-". It cannot contain the separator.
//
// # Edits
//
// A Tree is never changed in place: Apply returns a new one that shares the unchanged subtrees. A withdrawn key can't be
// made valid again, and the hash of a key can't be replaced.
//
// Apply reuses the state derived from the old tree (the index of keys, the effective services) in the new one, and
// Validate checks only what the edits may have affected. A test compares the results of both with those for the same tree
// decoded and validated from scratch.
//
// # Limits
//
// MaxDocumentBytes, MaxCustomers, MaxServices, MaxUpstreams, MaxRoutes and MaxKeysPerCustomer limit the size of the tree.
// They are at least four times the design target. The schema has no recursive type, so it limits the depth.
package settings

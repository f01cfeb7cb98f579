// Package settings holds the tree of settings of a fleet: its schema, strict decoding, validation, inheritance and the
// effective Snapshot that traffic reads. It does no I/O; package store keeps revisions in the platform's services.
package settings

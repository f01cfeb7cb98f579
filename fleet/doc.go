// Package fleet defines the identities that all packages about the cooperation of hosts share: hosts, members, epochs and
// ownership within an epoch. It does no I/O.
package fleet

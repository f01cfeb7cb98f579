// Package fleet defines the types that packages for coordination between hosts share: hosts, members, epochs, views, and
// ownership within an epoch. It does no I/O.
package fleet

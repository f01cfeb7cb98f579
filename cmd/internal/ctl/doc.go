// Package ctl has the operators' commands of bronzeyardctl. They call the admin API of any host of the fleet.
//
// Several hosts can be named; a command goes to the next one when a host cannot be reached or does not know the outcome
// of a change. A change keeps its change id over all attempts, so that it is made at most once. A key is drawn by the
// command itself: only its hash is sent.
package ctl

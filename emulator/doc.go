// Package emulator is under construction.
package emulator

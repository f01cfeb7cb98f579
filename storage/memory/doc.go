// Package memory implements the platform's services in memory, with injectable outages, delays, lost writes and lost
// responses. Tests use it directly; the emulator serves it over the published wire formats.
package memory

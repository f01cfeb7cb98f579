// Package config holds the static settings of one host process: its identity, addresses, certificates and the places of
// the platform's services. They are read once at the start from a JSON file; everything that operators change while the
// fleet runs lives in package settings.
package config

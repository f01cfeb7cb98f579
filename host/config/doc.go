// Package config defines the configuration file of one host process: its identity, addresses, certificates and the
// endpoints of the platform's services. The JSON file is read once at the start. Everything that operators change while
// the fleet runs is in package settings.
package config

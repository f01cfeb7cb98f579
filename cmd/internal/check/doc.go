// Package check implements the command check-configuration, which checks an operator's configuration before it is sent.
package check

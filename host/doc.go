// Package host is under construction.
package host

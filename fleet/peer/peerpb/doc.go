// Package peerpb holds the headers of calls between hosts.
package peerpb

// Package cleanclose tells a connection that the other side has closed properly from one that it has reset. Only a proper close can mark
// the end of a response without a length.
//
// The kernel reports a reset once, to the first call that finds it. If that is a write of the request, reads report the end of the
// connection, as if the other side had closed it. All clients that accept responses without a length need this package; it is in this module
// because the modules with clients import it.
package cleanclose

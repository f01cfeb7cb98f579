// Package requestid holds the rules for the ids that callers give their requests. An id reaches the upstream and the caller as it was
// sent, whatever its length: the limit of the request's header bounds it. Only log lines hold a shortened form of a long id.
package requestid

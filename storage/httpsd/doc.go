// Package httpsd implements storage.HostList over the HTTP service discovery document of Prometheus: a JSON list of
// groups with "targets" (addresses) and "labels". The label "state" is "live" or "leaving"; a group without it is live.
package httpsd

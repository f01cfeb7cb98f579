// Package processbench runs the real programs on loopback: host processes against stand-ins for the platform and the
// upstreams, under load, through a rolling restart, the loss of a third of the hosts, an outage of the table, a key
// withdrawal and changes of settings. Its checker reads the upstream stand-ins' own records.
package processbench

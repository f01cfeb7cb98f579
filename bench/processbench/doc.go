// Package processbench runs the real programs on loopback: host processes against emulators of the platform and the
// upstreams. Under load it makes a rolling restart, changes of settings, a key withdrawal, an outage of the table and the
// loss of a third of the hosts. Its checks use the records of the emulated upstreams.
package processbench

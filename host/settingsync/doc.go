// Package settingsync keeps the settings of a host in step with the table and with other hosts.
//
// The membership reads the head of the settings each second together with the epoch. A newer revision that another host
// states is fetched from that host at once, and from the table if that fails; one that the table states is read there. A
// starting host loads from the platform, or from its seeds while the platform is out of reach. The store never goes back to
// an older revision, whatever arrives in which order.
package settingsync

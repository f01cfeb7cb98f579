// Package settingsync keeps the settings of a host in step with the table and with other hosts.
//
// A host polls the head of the settings each second. When another host states a newer revision, it is fetched from that
// host at once, and from the table if that fails. A starting host loads from the platform, or from its seeds while the
// platform is out of reach. The store never goes back to an older revision, whatever arrives in which order.
package settingsync

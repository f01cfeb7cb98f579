// Package settingsync synchronizes the settings of a host with the table and with other hosts.
//
// The membership reads the head of the settings each second, together with the epoch. A newer revision that another host
// reports is fetched from that host at once, and from the table if that fails. A newer revision that the head in the table
// shows is read from the table. A starting host loads the settings from the platform, or from its seeds if the platform is
// unreachable. The store never returns to an older revision, in whatever order revisions arrive.
package settingsync

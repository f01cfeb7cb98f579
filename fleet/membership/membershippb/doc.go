// Package membershippb holds the messages of the membership protocol and the stored form of an epoch.
package membershippb

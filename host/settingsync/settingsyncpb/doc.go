// Package settingsyncpb holds the messages by which hosts fetch settings from each other.
package settingsyncpb

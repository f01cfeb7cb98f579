// Package logs holds the commands that explain hosts' logs: trace for one request, report for a time.
//
// Both read the files that --logs names, which may be patterns, or standard input. A pattern that matches nothing is an
// error, and so is a log without a single line of a host.
package logs

// Package logs implements the commands that analyze the logs of hosts: trace explains one request, report covers a period.
//
// Both read the files that match the patterns of --logs, or standard input. A pattern that matches no file is an error, and so
// is input without a log line of a host.
package logs

// Package decisionlog reads the log lines that hosts write about their decisions, and extracts from them the trace of a request
// or a summary over time.
//
// Read accepts files that hold lines of any number of hosts. A line may have text before its JSON object, as log collectors
// add it. Lines without an object, an event or a host are counted and ignored. Trace collects the lines that explain the
// response to one request: its own lines, and the last lines before it that state what its host had received about the
// upstreams, the settings, the store and its own process. Summarize counts requests, failures and latencies over time.
//
// Hosts skip lines above a rate limit, so counts are lower bounds. Summary.Skipped is the number of lines that are missing for
// this reason or because a host's log buffer was full.
package decisionlog

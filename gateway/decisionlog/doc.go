// Package decisionlog reads the lines that hosts write about their decisions, and explains a request or a time from them.
//
// Read accepts files of any mixture of hosts. A line may have text before its JSON object, as log collectors add it; lines
// without an object, or without an event, are counted and left out. Trace collects what led to the answer of one request:
// its own lines, and the last lines before it that state what its host knew of the upstreams, the settings, the store and
// its own process. Summarize counts requests, failures and latencies over time.
//
// Hosts leave lines out above a budget, so counts are lower bounds; Summary.Skipped says by how much.
package decisionlog

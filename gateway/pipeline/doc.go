// Package pipeline serves callers' HTTP/1.1 connections and runs pipelined requests side by side.
//
// net/http reads a request only after the answer to the one before. Callers that pipeline give up requests that are not
// read within a second, so a Server reads ahead: requests with safe methods are handled at the same time, any other
// request waits until all before it are answered, and answers are written in the order of the requests. Messages are
// parsed and written by net/http (ReadRequest and Response.Write).
//
// Request bodies are read whole before the handler is called, within the limits and a budget of memory. When the caller
// closes its side of the connection, the contexts of its requests are cancelled. A connection is closed gracefully: after
// its last answer the Server closes its sending side and reads for a short time, because a close with unread bytes would
// reset the connection and could destroy the answer.
package pipeline

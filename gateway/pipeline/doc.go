// Package pipeline serves callers' HTTP/1.1 connections and handles pipelined requests concurrently.
//
// net/http reads a request only after it has sent the response to the previous one. Callers that pipeline abandon requests that
// are not read within a second, so a Server reads ahead. Requests with safe methods are handled concurrently. Any other request
// waits for the responses to all requests before it, and the requests after it wait for its response. Responses are written in the
// order of the requests. A Server always reads, so that it sees when a caller disconnects: it then cancels the requests that run and
// starts none of those that wait. It holds a bounded number and size of requests for each connection. Those beyond are discarded, the
// response to the last one before them closes the connection, and the caller sends them again. Messages are parsed and written by
// net/http (ReadRequest and Response.Write).
//
// A request body is read whole before the handler is called, subject to a size limit and a memory budget. When the caller
// closes its side of the connection, the contexts of its requests are cancelled. A connection is closed gracefully: after the
// last response the Server closes its sending side and reads for a short time, because a close with unread bytes would reset
// the connection and could destroy the response.
package pipeline

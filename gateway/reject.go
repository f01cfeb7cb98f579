package gateway

import (
	"math/rand/v2"
	"net/http"

	"github.com/bronzeyard/bronzeyard/gateway/pipeline"
	"github.com/bronzeyard/bronzeyard/gateway/relay"
	"github.com/bronzeyard/bronzeyard/traffic/errkind"
)

// reject returns the response to a request that does not reach the request path. request is nil if its header was not read.
func (g *Gateway) reject(rejection pipeline.Rejection, request *http.Request) *pipeline.Response {
	e := rejectionError(rejection)
	id := ""
	if request != nil {
		id = request.Header.Get(g.options.Headers.RequestID)
	}
	status, header, body := errkind.Render(id, e, relay.RetryAfterPrecision)
	g.log.rejected(id, rejection, status, g.budget.Used())
	return &pipeline.Response{Status: status, Header: header, Body: body}
}

func rejectionError(rejection pipeline.Rejection) *errkind.Error {
	e := &errkind.Error{Kind: errkind.RequestMalformed}
	switch rejection {
	case pipeline.HeaderTooLarge:
		e.Kind = errkind.HeaderTooLarge
	case pipeline.BodyTooLarge:
		e.Kind = errkind.RequestTooLarge
	case pipeline.HeaderTimedOut, pipeline.BodyTimedOut:
		e.Kind = errkind.RequestTimeout
	case pipeline.BudgetExhausted:
		e.Kind = errkind.Overloaded
		e.RetryAfter = relay.MemoryRetryAfter(rand.Float64())
	case pipeline.ShuttingDown:
		e.Kind = errkind.ShuttingDown
		e.RetryAfter = relay.ShutdownRetryAfter
	case pipeline.Malformed:
	}
	return e
}

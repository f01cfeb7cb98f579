package load

import (
	"errors"
	"net"
	"net/http"
)

// maxAddresses bounds how many addresses one request tries.
const maxAddresses = 4

// customerHeader carries the customer from the plan to the transport and is removed before sending.
const customerHeader = "X-Load-Customer"

// transport sends each request to an address of its customer and tries another address if it cannot connect.
type transport struct {
	resolvers map[string]*resolver
	base      http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	customer := t.resolvers[request.Header.Get(customerHeader)]
	tried := make(map[string]bool)
	var last error
	for range maxAddresses {
		address, err := customer.address(request.Context(), tried)
		if err != nil {
			return nil, errors.Join(last, err)
		}
		tried[address] = true
		attempt := request.Clone(request.Context())
		attempt.Header.Del(customerHeader)
		attempt.URL.Host = address
		if request.GetBody != nil {
			if attempt.Body, err = request.GetBody(); err != nil {
				return nil, err
			}
		}
		response, err := t.base.RoundTrip(attempt)
		if err == nil || !isDialError(err) {
			return response, err
		}
		last = err
	}
	return nil, last
}

// isDialError reports whether no connection was made, so that nothing can have been sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

package load

import (
	"errors"
	"net"
	"net/http"
)

// maxAddressesPerRequest limits the number of addresses that are tried for one request.
const maxAddressesPerRequest = 4

// customerHeader carries the customer name from the planner to the transport, which removes it before sending.
const customerHeader = "X-Load-Customer"

// transport sends each request to an address that its customer's resolver returns. If it cannot connect, it tries another
// address.
type transport struct {
	resolvers map[string]*resolver
	base      http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	customer := t.resolvers[request.Header.Get(customerHeader)]
	tried := make(map[string]bool)
	var lastErr error
	for range maxAddressesPerRequest {
		address, err := customer.address(request.Context(), tried)
		if err != nil {
			return nil, errors.Join(lastErr, err)
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
		lastErr = err
	}
	return nil, lastErr
}

// isDialError reports whether the connection could not be established. Nothing was sent in this case.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

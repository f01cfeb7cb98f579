package httphead

import (
	"errors"
	"net/http"
	"strings"
)

// Faults of a head.
var (
	// ErrStatus means that the status is not defined for final responses. Readers could take such a response for a success.
	ErrStatus = errors.New("response has a status outside 200 to 599")
	// ErrFieldName means that the name of a field contains a space.
	ErrFieldName = errors.New("header has a field with a space in its name")
)

// Final responses have a status within these bounds.
const (
	minFinalStatus = 200
	maxStatus      = 599
)

// CheckResponse returns an error if the head of a final response is faulty.
func CheckResponse(response *http.Response) error {
	if response.StatusCode < minFinalStatus || response.StatusCode > maxStatus {
		return ErrStatus
	}
	return CheckNames(response.Header)
}

// CheckNames returns ErrFieldName if the name of a field contains a space. net/http rejects all other bytes that a name must not contain, but
// accepts spaces within a name and after it, and then takes the field for one that it does not know. A field such as "Content-Length : 9"
// may have been meant to state the length of a body, whose end then is not known.
func CheckNames(header http.Header) error {
	for name := range header {
		if strings.Contains(name, " ") {
			return ErrFieldName
		}
	}
	return nil
}

package httphead

import (
	"errors"
	"net/http"
	"testing"
)

// Guards against faulty heads that are taken for sound ones, and the reverse.
func TestCheckResponse(t *testing.T) {
	for _, c := range []struct {
		status int
		name   string
		want   error
	}{
		{0, "X-Trace", ErrStatus},
		{99, "X-Trace", ErrStatus},
		{100, "X-Trace", ErrStatus},
		{199, "X-Trace", ErrStatus},
		{600, "X-Trace", ErrStatus},
		{999, "X-Trace", ErrStatus},
		{200, "X-Trace", nil},
		{404, "x_trace", nil},
		{599, "X", nil},
		{200, "X-Trace ", ErrFieldName},
		{200, "X Trace", ErrFieldName},
		{200, " X-Trace", ErrFieldName},
		{503, "X-Trace ", ErrFieldName},
	} {
		response := &http.Response{StatusCode: c.status, Header: http.Header{"Date": nil, c.name: {"a b"}}}
		if err := CheckResponse(response); !errors.Is(err, c.want) {
			t.Errorf("status %d, field %q: %v, want %v", c.status, c.name, err, c.want)
		}
	}
}

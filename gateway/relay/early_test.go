package relay

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// longUpload does not fit into the socket buffers of a connection, so that it is still being written when the response arrives.
const longUpload = 16 << 20

// Guards against a part of a response that callers get as the whole: the upstream responds to a long upload at once, without a length, and
// resets the connection within the body while the upload is still being written.
func TestResponseCutDuringUploadIsNoSuccess(t *testing.T) {
	for _, unframed := range []bool{true, false} {
		t.Run(fmt.Sprintf("without length %v", unframed), func(t *testing.T) {
			r := newFixture(t)
			r.upload = strings.Repeat("x", longUpload)
			f := fault{readLimit: -1, early: true, unframed: unframed, reset: true}
			for n := range len(responseText) {
				cut := f
				cut.pause = time.Duration(n%4) * time.Millisecond
				cut.writeLimit = len(r.first.header(fmt.Sprint("id-", r.sent+1), &f)) + n
				r.first.fault.Store(&cut)
				response, id := r.send(http.MethodPost)
				r.expect(fmt.Sprint("response cut in the body at byte ", n), false, response, id)
			}
		})
	}
}

// Guards against whole responses that are lost because the upstream does not wait for the rest of the upload.
func TestWholeResponseDuringUploadIsReturned(t *testing.T) {
	for _, f := range []fault{{unframed: true}, {chunked: true}, {}} {
		t.Run(fmt.Sprintf("without length %v, chunked %v", f.unframed, f.chunked), func(t *testing.T) {
			r := newFixture(t)
			r.upload = strings.Repeat("x", longUpload)
			f.readLimit, f.writeLimit, f.early = -1, -1, true
			r.first.fault.Store(&f)
			for n := range 20 {
				response, id := r.send(http.MethodPost)
				r.expect(fmt.Sprint("request ", n), false, response, id)
				if response.Status != http.StatusOK {
					t.Errorf("request %d: status %d, want that of the whole response", n, response.Status)
				}
			}
		})
	}
}

package relay

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/gateway/pipeline"
)

// Guards against a request that no upstream can be sent, and that counts as unreachable upstreams: http.ReadRequest accepts a space
// in the name of a header, and http.Transport does not. One such request of a caller opened breakers of healthy upstreams. The
// connection must be closed, because a header with another name may have stated the length of the body.
func TestSpaceInHeaderNameIsRejected(t *testing.T) {
	for _, line := range []string{"X Other: a", "Content-Length : 9"} {
		r := newFixture(t)
		text := "POST /x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + key + "\r\n" + line + "\r\n\r\n"
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			t.Fatal(err)
		}
		response := r.relay.Serve(t.Context(), &pipeline.Request{HTTP: request, ReadAt: time.Now()})
		if attempts := r.events[0].Attempts; response.Status != http.StatusBadRequest || !response.Close || len(attempts) > 0 {
			t.Errorf("%q: status %d, close %v, attempts %+v, want 400, true and none", line, response.Status, response.Close, attempts)
		}
	}
}

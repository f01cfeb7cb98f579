package proxy_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/bronzeyard/bronzeyard/traffic/forward"
)

// Guards against a request path that does not reach the upstream or loses the answer.
func TestAnswerIsPassedOn(t *testing.T) {
	address := upstreamServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Seen", r.URL.Path)
		_, _ = io.Copy(w, r.Body)
	})
	w := newWorld(t, forward.Options{}, time.Minute, address)
	got := w.serve("PUT", "/lookup/a", "hello", nil)
	if got.Code != http.StatusOK || got.Body.String() != "hello" || got.Header().Get("X-Seen") != "/lookup/a" {
		t.Fatalf("got %d %q %v", got.Code, got.Body, got.Header())
	}
}

package confsync

import (
	"bytes"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

var key = []byte("0123456789abcdef")

func serve(t *testing.T, compressed []byte) string {
	t.Helper()
	server := httptest.NewServer(NewHandler(key, func() []byte { return compressed }))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a configuration that is changed or lost on its way to another host.
func TestFetch(t *testing.T) {
	configuration := bytes.Repeat([]byte(`{"prefix":"/book/"},`), 5000)
	got, err := NewClient().Fetch(t.Context(), serve(t, Compress(configuration)), key)
	if err != nil || !bytes.Equal(got, configuration) {
		t.Errorf("fetched %d bytes of %d, error %v", len(got), len(configuration), err)
	}
}

// Guards against accepting a configuration from a sender that cannot read the store or from a recorded response, and against
// customers' keys that are sent in plain text.
func TestResponseWithAnotherKeyOrChallengeIsRejected(t *testing.T) {
	configuration := []byte(`{"api_keys":["secret"]}`)
	address := serve(t, Compress(configuration))
	if _, err := NewClient().Fetch(t.Context(), address, []byte("another key 6789")); err == nil {
		t.Error("a response that was encrypted with another key was accepted")
	}
	challenge := make([]byte, challengeBytes)
	sealed, err := seal(key, challenge, Compress(configuration))
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Contains(sealed, []byte("secret")) {
		t.Error("the response holds a key in plain text")
	}
	if _, err := open(key, []byte("another challenge"), sealed); err == nil {
		t.Error("a response to another challenge was accepted")
	}
}

// Guards against large configurations on slow links between hosts. They must come from the store.
func TestLargeConfigurationsAreNotServed(t *testing.T) {
	configuration := make([]byte, 2*maxCompressedBytes)
	_, _ = rand.Read(configuration)
	if Compress(configuration) != nil {
		t.Error("Compress returned a result for a configuration that is too large")
	}
	if _, err := NewClient().Fetch(t.Context(), serve(t, nil), key); !errors.Is(err, ErrTooLarge) {
		t.Errorf("Fetch returned error %v, want ErrTooLarge", err)
	}
}

// Guards against a response to a request without a valid challenge. Such a response could be replayed.
func TestInvalidChallenges(t *testing.T) {
	address := serve(t, Compress([]byte("{}")))
	for _, challenge := range []string{"", "zz", "00"} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+Path, http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set(challengeHeader, challenge)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		if err := response.Body.Close(); err != nil {
			t.Error(err)
		}
		if response.StatusCode != http.StatusBadRequest {
			t.Errorf("challenge %q: status %d, want 400", challenge, response.StatusCode)
		}
	}
}

// Guards against a faulty host that fills the memory of another one with the header of its response.
func TestLongResponseHeaderIsRejected(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Long", strings.Repeat("x", 64<<10))
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	}))
	t.Cleanup(server.Close)
	_, err := NewClient().Fetch(t.Context(), strings.TrimPrefix(server.URL, "http://"), key)
	if err == nil || errors.Is(err, ErrTooLarge) {
		t.Errorf("Fetch returned error %v, want one about the length of the header", err)
	}
}

// Guards against a part of a configuration that is taken for the whole, and against one in a response whose status is not defined. The
// response has no length, so that its content must show that it is whole.
func TestBrokenResponsesAreRejected(t *testing.T) {
	handler := NewHandler(key, func() []byte { return Compress([]byte(`{"prefix":"/book/"}`)) })
	for cut := range 30 {
		for _, status := range []string{"200", "000"} {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				whole := httptest.NewRecorder()
				handler.ServeHTTP(whole, r)
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				body := whole.Body.Bytes()
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s OK\r\n\r\n%s", status, body[:len(body)-cut])
				_ = conn.Close()
			}))
			_, err := NewClient().Fetch(t.Context(), strings.TrimPrefix(server.URL, "http://"), key)
			if whole := cut == 0 && status == "200"; (err == nil) != whole {
				t.Errorf("status %s, %d bytes cut: error %v", status, cut, err)
			}
			server.Close()
		}
	}
}

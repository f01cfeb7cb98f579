package confsync

import (
	"bytes"
	"crypto/rand"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

var key = []byte("0123456789abcdef")

func serve(t *testing.T, packed []byte) string {
	t.Helper()
	server := httptest.NewServer(NewHandler(key, func() []byte { return packed }))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestFetch(t *testing.T) {
	raw := bytes.Repeat([]byte(`{"prefix":"/book/"},`), 5000)
	got, err := NewClient().Fetch(t.Context(), serve(t, Compress(raw)), key)
	if err != nil || !bytes.Equal(got, raw) {
		t.Errorf("got %d bytes of %d, %v", len(got), len(raw), err)
	}
}

// Guards against configurations from somebody who has not read the store, and against keys that can be read on the way.
func TestOnlyTheHostOfTheRecordIsBelieved(t *testing.T) {
	raw := []byte(`{"api_keys":["secret"]}`)
	address := serve(t, Compress(raw))
	if _, err := NewClient().Fetch(t.Context(), address, []byte("another key 6789")); err == nil {
		t.Error("an answer with another key was taken")
	}
	challenge := make([]byte, challengeBytes)
	sealed, err := seal(key, challenge, Compress(raw))
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Contains(sealed, []byte("secret")) {
		t.Error("the answer can be read on the way")
	}
	if _, err := open(key, []byte("another challenge"), sealed); err == nil {
		t.Error("an answer to an earlier question was taken")
	}
}

// Guards slow links between hosts: large configurations come from the store.
func TestLargeConfigurationsAreNotPassedOn(t *testing.T) {
	raw := make([]byte, 2*maxPacked)
	_, _ = rand.Read(raw)
	if Compress(raw) != nil {
		t.Error("a large configuration was packed")
	}
	if _, err := NewClient().Fetch(t.Context(), serve(t, nil), key); !errors.Is(err, ErrTooLarge) {
		t.Errorf("asking for it gives %v", err)
	}
}

func TestBadQuestions(t *testing.T) {
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
			t.Errorf("challenge %q: status %d", challenge, response.StatusCode)
		}
	}
}

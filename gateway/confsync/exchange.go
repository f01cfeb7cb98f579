package confsync

import (
	"bytes"
	"compress/flate"
	"encoding/hex"
	"net/http"
)

// exchange serves encrypted content to other hosts, to a bounded number of them at the same time.
type exchange struct {
	key      []byte
	inFlight chan struct{}
}

func newExchange(key []byte, maxConcurrent int) exchange {
	return exchange{key: key, inFlight: make(chan struct{}, maxConcurrent)}
}

// httpError is the response to a request for content that this host does not have.
type httpError struct {
	status  int
	message string
}

// serve responds with the content, encrypted with the key of this host and bound to the challenge of the request.
func (e *exchange) serve(w http.ResponseWriter, r *http.Request, content func() (plain []byte, missing *httpError)) {
	select {
	case e.inFlight <- struct{}{}:
		defer func() { <-e.inFlight }()
	default:
		http.Error(w, "too many exchanges", http.StatusServiceUnavailable)
		return
	}
	challenge, err := hex.DecodeString(r.Header.Get(challengeHeader))
	if err != nil || len(challenge) != challengeBytes {
		http.Error(w, challengeHeader+" must hold 32 hexadecimal digits", http.StatusBadRequest)
		return
	}
	plain, missing := content()
	if missing != nil {
		http.Error(w, missing.message, missing.status)
		return
	}
	sealed, err := seal(e.key, challenge, plain)
	if err != nil {
		http.Error(w, "the content cannot be sealed", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(sealed) // the requesting host detects a truncated response
}

// compress returns nil if the result is larger than limit.
func compress(plain []byte, level, limit int) []byte {
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, level)
	if err != nil {
		return nil // cannot happen: the level is valid
	}
	if _, err := writer.Write(plain); err != nil || writer.Close() != nil || compressed.Len() > limit {
		return nil
	}
	return compressed.Bytes()
}

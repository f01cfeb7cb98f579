package ctl

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/bronzeyard/bronzeyard/traffic/httphead"
)

// session is one execution of a command. All its requests share the token, the hosts and the change id.
type session struct {
	ctx      context.Context //nolint:containedctx // a session lasts for one command
	env      *Environment
	flags    *flags
	token    string
	roots    *x509.CertPool
	hosts    []string
	changeID string
}

const (
	// maxRounds bounds how often all hosts are tried.
	maxRounds        = 3
	roundDelay       = 500 * time.Millisecond
	maxResponseBytes = 256 << 20
)

// errorBody mirrors admin.ErrorBody.
type errorBody struct {
	Error   string `json:"error"`
	Message string `json:"message"`
	Next    string `json:"next"`
}

func newID(prefix string) string { return prefix + strings.ToLower(rand.Text()) }

// call sends a request to the hosts in turn until one gives a final response, which it decodes into the value that into
// points to. It tries the next host after a transport error or status 503. Every attempt of a change carries the same change id.
func (s *session) call(method, path string, query url.Values, body, into any) error {
	encoded, err := encodeBody(body)
	if err != nil {
		return err
	}
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	var lastErr error
	for round := range maxRounds {
		if round > 0 && !s.waitForNextRound() {
			break
		}
		for _, host := range s.hosts {
			status, responseBody, err := s.send(method, strings.TrimRight(host, "/")+path, encoded)
			if err != nil {
				lastErr = &commandError{code: ExitUnavailable, message: err.Error(), next: s.retryAdvice(method)}
				continue
			}
			if status >= http.StatusBadRequest {
				lastErr = s.responseError(status, responseBody)
				if status == http.StatusServiceUnavailable {
					continue
				}
				return lastErr
			}
			return decodeResponse(responseBody, into)
		}
	}
	return lastErr
}

func (s *session) retryAdvice(method string) string {
	if method == http.MethodGet {
		return "repeat the command, or name other hosts with --admin"
	}
	return "the change may have been made; repeat the command with --change-id " + s.changeID
}

func (s *session) waitForNextRound() bool {
	timer := time.NewTimer(roundDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}

func encodeBody(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	return json.Marshal(body)
}

func (s *session) send(method, address string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(s.ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Authorization", "Bearer "+s.token)
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, DisableKeepAlives: true,
		TLSClientConfig: &tls.Config{RootCAs: s.roots, MinVersion: tls.VersionTLS13},
	}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if err := httphead.CheckResponse(response); err != nil {
		return 0, nil, err
	}
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	return response.StatusCode, responseBody, err
}

const dialTimeout = 2 * time.Second

func decodeResponse(responseBody []byte, into any) error {
	if raw, ok := into.(*json.RawMessage); ok {
		*raw = responseBody
		return nil
	}
	if err := json.Unmarshal(responseBody, into); err != nil {
		return fmt.Errorf("decode the response of the host: %w", err)
	}
	return nil
}

// responseError returns the error of the command for an error response of a host.
func (s *session) responseError(status int, responseBody []byte) error {
	var body errorBody
	if json.Unmarshal(responseBody, &body) != nil || body.Error == "" {
		return &commandError{code: ExitFailed, message: fmt.Sprintf("the host responded with status %d", status)}
	}
	code := ExitFailed
	switch {
	case body.Error == "conflict":
		code = ExitConflict
	case status == http.StatusServiceUnavailable:
		code = ExitUnavailable
	}
	if body.Error == "outcome_unknown" {
		body.Next = s.retryAdvice(http.MethodPost)
	}
	return &commandError{code: code, message: body.Message, next: body.Next}
}

// changeHeader mirrors admin.ChangeHeader.
type changeHeader struct {
	ChangeID string `json:"change_id"`
	Base     uint64 `json:"base"`
}

// newChangeHeader returns the header of a change. Its base is the revision of --base, or else the newest revision that the
// host has.
func (s *session) newChangeHeader() (changeHeader, error) {
	if s.flags.base != "" {
		base, err := strconv.ParseUint(s.flags.base, 10, 64)
		if err != nil {
			return changeHeader{}, usageError("--base %q is not a revision number", s.flags.base)
		}
		return changeHeader{ChangeID: s.changeID, Base: base}, nil
	}
	var status struct {
		Settings struct {
			Revision uint64 `json:"revision"`
		} `json:"settings"`
	}
	if err := s.call(http.MethodGet, "/v1/status", nil, nil, &status); err != nil {
		return changeHeader{}, err
	}
	return changeHeader{ChangeID: s.changeID, Base: status.Settings.Revision}, nil
}

// changeResult mirrors admin.ChangeResult.
type changeResult struct {
	ChangeID  string   `json:"change_id"`
	Revision  uint64   `json:"revision"`
	InForce   bool     `json:"in_force"`
	Missing   []string `json:"missing,omitempty"`
	Unchanged bool     `json:"unchanged,omitempty"`
	// KeyID and Key are set by the command itself. Responses do not contain them, because the command sends the hash of
	// a key that it generated.
	KeyID string `json:"key_id,omitempty"`
	Key   string `json:"key,omitempty"`
}

// change sends a change and prints its result. complete, unless it is nil, adds to the result before it is printed.
func (s *session) change(method, path string, body any, complete func(*changeResult)) error {
	var result changeResult
	if err := s.call(method, path, nil, body, &result); err != nil {
		return err
	}
	if complete != nil {
		complete(&result)
	}
	if err := s.printChange(&result); err != nil {
		return err
	}
	if result.InForce {
		return nil
	}
	message := "not yet in force on every host"
	if len(result.Missing) > 0 {
		message += ": " + strings.Join(result.Missing, ", ")
	}
	return &commandError{
		code: ExitNotInForce, message: message, next: "look at the named hosts with status; the change itself is made",
	}
}

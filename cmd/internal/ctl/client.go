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
)

// session is one run of a command.
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
	maxRounds         = 3
	pauseBetweenRound = 500 * time.Millisecond
	maxAnswerBytes    = 256 << 20
)

// errorBody mirrors admin.ErrorBody.
type errorBody struct {
	Error   string `json:"error"`
	Message string `json:"message"`
	Next    string `json:"next"`
}

func newID(prefix string) string { return prefix + strings.ToLower(rand.Text()) }

// call sends a request to the hosts in turn until one gives a final answer. The body of a change has the same change id
// each time.
func (s *session) call(method, path string, query url.Values, body, into any) error {
	encoded, err := encodeBody(body)
	if err != nil {
		return err
	}
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	var last error
	for round := range maxRounds {
		if round > 0 && !s.pause() {
			break
		}
		for _, host := range s.hosts {
			status, answer, err := s.send(method, strings.TrimRight(host, "/")+path, encoded)
			if err != nil {
				last = &failed{code: ExitUnavailable, message: err.Error(), next: s.repeatAdvice(method)}
				continue
			}
			if status >= http.StatusBadRequest {
				last = s.refusal(status, answer)
				if status == http.StatusServiceUnavailable {
					continue
				}
				return last
			}
			return decodeAnswer(answer, into)
		}
	}
	return last
}

func (s *session) repeatAdvice(method string) string {
	if method == http.MethodGet {
		return "repeat the command, or name other hosts with --admin"
	}
	return "the change may have been made; repeat the command with --change-id " + s.changeID
}

func (s *session) pause() bool {
	timer := time.NewTimer(pauseBetweenRound)
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
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return response.StatusCode, answer, err
}

const dialTimeout = 2 * time.Second

func decodeAnswer(answer []byte, into any) error {
	if raw, ok := into.(*json.RawMessage); ok {
		*raw = answer
		return nil
	}
	if err := json.Unmarshal(answer, into); err != nil {
		return fmt.Errorf("the host's answer is malformed: %w", err)
	}
	return nil
}

func (s *session) refusal(status int, answer []byte) error {
	var body errorBody
	if json.Unmarshal(answer, &body) != nil || body.Error == "" {
		return &failed{code: ExitFailed, message: fmt.Sprintf("the host answered with status %d", status)}
	}
	code := ExitFailed
	switch {
	case body.Error == "conflict":
		code = ExitConflict
	case status == http.StatusServiceUnavailable:
		code = ExitUnavailable
	}
	if body.Error == "outcome_unknown" {
		body.Next = s.repeatAdvice(http.MethodPost)
	}
	return &failed{code: code, message: body.Message, next: body.Next}
}

// changeHeader mirrors admin.ChangeHeader.
type changeHeader struct {
	ChangeID string `json:"change_id"`
	Base     uint64 `json:"base"`
}

// header returns the header of a change: the base of the flag, or else the newest revision of the host.
func (s *session) header() (changeHeader, error) {
	if s.flags.base != "" {
		base, err := strconv.ParseUint(s.flags.base, 10, 64)
		if err != nil {
			return changeHeader{}, usage("--base is not a revision")
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
	// Key is added by the command and is never in an answer to it.
	KeyID string `json:"key_id,omitempty"`
	Key   string `json:"key,omitempty"`
}

// change sends a change and prints its result.
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
	return &failed{code: ExitNotInForce, message: message, next: "look at the named hosts with status; the change itself is made"}
}

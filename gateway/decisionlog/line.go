package decisionlog

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Event is the kind of a line.
type Event string

// The events that this package uses. Lines with other events are read too.
const (
	EventRequest            Event = "request"
	EventBreakerOpen        Event = "breaker_open"
	EventBreakerClosed      Event = "breaker_closed"
	EventUpstream           Event = "upstream"
	EventConfiguration      Event = "configuration"
	EventConfigurationHeard Event = "configuration_heard"
	EventAnswerLate         Event = "answer_late"
	EventHistoryGone        Event = "history_gone"
	EventHostHeard          Event = "host_heard"
	EventDependencyLost     Event = "dependency_lost"
	EventDependencyRegained Event = "dependency_regained"
	EventStart              Event = "start"
	EventStop               Event = "stop"
	EventStopped            Event = "stopped"
	EventReload             Event = "reload"
	EventReloadFailed       Event = "reload_failed"
	EventSkipped            Event = "log_lines_skipped"
	EventDropped            Event = "log_lines_dropped"
)

// Line is one line of a host's log. Fields that do not belong to its event are zero.
type Line struct {
	Time  time.Time `json:"time"`
	Host  string    `json:"host"`
	Event Event     `json:"event"`

	// Fields of requests. Durations are in milliseconds.
	ID                 string    `json:"id"`
	Route              string    `json:"route"`
	Service            string    `json:"service"`
	Customer           string    `json:"customer"`
	Status             int       `json:"status"`
	Error              string    `json:"error"`
	Cause              string    `json:"cause"`
	TotalMS            float64   `json:"total_ms"`
	LimitMS            float64   `json:"limit_ms"`
	RetryAfterMS       float64   `json:"retry_after_ms"`
	Configuration      uint64    `json:"configuration"`
	ConfigurationAgeMS float64   `json:"configuration_age_ms"`
	Tokens             *float64  `json:"tokens"`
	HostsHeard         int       `json:"hosts_heard"`
	CallerGone         bool      `json:"caller_gone"`
	HedgeRefused       string    `json:"hedge_refused"`
	Attempts           []Attempt `json:"attempts"`

	// Fields of state changes.
	Upstream     string  `json:"upstream"`
	Sample       string  `json:"sample"`
	From         string  `json:"from"`
	Change       string  `json:"change"`
	StoreVersion uint64  `json:"store_version"`
	Version      uint64  `json:"version"`
	Before       uint64  `json:"before"`
	Dependency   string  `json:"dependency"`
	AwayMS       float64 `json:"away_ms"`
	BehindMS     float64 `json:"behind_ms"`
	AfterMS      float64 `json:"after_ms"`
	HostID       string  `json:"host_id"`
	InFlight     int64   `json:"in_flight"`
	Count        int64   `json:"count"`

	// Raw is the unmodified JSON object.
	Raw json.RawMessage `json:"-"`
}

// Attempt is one attempt of a request.
type Attempt struct {
	Upstream      string  `json:"upstream"`
	Outcome       string  `json:"outcome"`
	Status        int     `json:"status"`
	TookMS        float64 `json:"took_ms"`
	Load          float64 `json:"load"`
	RegistryAgeMS float64 `json:"registry_age_ms"`
	Trial         bool    `json:"trial"`
	Hedge         bool    `json:"hedge"`
	Reused        bool    `json:"reused"`
	Address       string  `json:"address"`
	// Connection is the number of the connection in its process, 0 if there was none, and ConnectionRequests the number of requests
	// that it had carried before.
	Connection         uint64 `json:"connection"`
	ConnectionRequests int64  `json:"connection_requests"`
	Cause              string `json:"cause"`
	// Dispatcher is the host that was asked for a slot, and Fallback the reason for which the host has chosen the upstream itself.
	Dispatcher     string  `json:"dispatcher"`
	DispatchWaitMS float64 `json:"dispatch_wait_ms"`
	Fallback       string  `json:"fallback"`
}

// StartedAt returns the time at which the host had read the request.
func (l *Line) StartedAt() time.Time {
	return l.Time.Add(-time.Duration(l.TotalMS * float64(time.Millisecond)))
}

// Log holds the lines of one or more hosts, oldest first.
type Log struct {
	Lines []Line
	// Ignored is the number of lines that are not log lines of a host.
	Ignored int
}

// maxLineBytes bounds the length of a line. Lines that hosts write are far shorter.
const maxLineBytes = 1 << 20

// Read adds the lines of a file. It returns an error only if the file cannot be read to its end or has a line longer than
// maxLineBytes.
func (l *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if !ok {
			l.Ignored++
			continue
		}
		l.Lines = append(l.Lines, line)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("after %d lines: %w", len(l.Lines)+l.Ignored, err)
	}
	slices.SortStableFunc(l.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return nil
}

func parse(text string) (Line, bool) {
	begin := strings.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	raw := json.RawMessage(strings.TrimSpace(text[begin:]))
	var line Line
	if err := json.Unmarshal(raw, &line); err != nil || line.Event == "" || line.Host == "" {
		return Line{}, false
	}
	line.Raw = raw
	return line, true
}

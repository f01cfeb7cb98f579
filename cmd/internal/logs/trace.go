package logs

import (
	"fmt"
	"io"
	"strings"

	"github.com/bronzeyard/bronzeyard/gateway/decisionlog"
)

func (c *Commands) runTrace(log *decisionlog.Log) error {
	trace := log.Trace(c.id)
	if trace.Found == 0 {
		return fmt.Errorf("no log line of request %q in %d lines; hosts left out %d lines", c.id, len(log.Lines), trace.Skipped)
	}
	write := writeSteps
	if c.rawLines {
		write = writeRaw
	}
	return write(c.env.Stdout, &trace)
}

func writeRaw(w io.Writer, trace *decisionlog.Trace) error {
	for i := range trace.Steps {
		if _, err := fmt.Fprintf(w, "%s\n", trace.Steps[i].Raw); err != nil {
			return err
		}
	}
	return nil
}

const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// writeSteps writes the steps as text, each with its time relative to the last step, which is a line of the request itself.
func writeSteps(w io.Writer, trace *decisionlog.Trace) error {
	end := trace.Steps[len(trace.Steps)-1].Time
	for i := range trace.Steps {
		step := &trace.Steps[i]
		_, err := fmt.Fprintf(w, "%s %9.3f s  %-10s %-16s %s\n", step.Time.Format(timeFormat), step.Time.Sub(end).Seconds(),
			step.Relation, step.Host, describe(step))
		if err != nil {
			return err
		}
	}
	return nil
}

func describe(step *decisionlog.Step) string {
	switch step.Event {
	case decisionlog.EventRequest:
		return describeRequest(&step.Line)
	case decisionlog.EventBreakerOpen:
		return fmt.Sprintf("breaker of %s opened after %s%s", step.Upstream, step.Sample, seenBy(step.From))
	case decisionlog.EventBreakerClosed:
		return fmt.Sprintf("breaker of %s closed%s", step.Upstream, seenBy(step.From))
	case decisionlog.EventUpstream:
		return fmt.Sprintf("upstream %s of %s %s at version %d of the store", step.Upstream, step.Service, step.Change, step.StoreVersion)
	case decisionlog.EventConfiguration:
		text := fmt.Sprintf("configuration %d came into force after %d", step.Version, step.Before)
		if step.BehindMS > 0 {
			text += fmt.Sprintf(", %.0f ms after another host had a newer one", step.BehindMS)
		}
		return text
	case decisionlog.EventConfigurationHeard:
		return fmt.Sprintf("configuration %d is in force at %s, not yet here", step.Version, step.From)
	case decisionlog.EventAnswerLate:
		return fmt.Sprintf("the answer was written %.0f ms after it was there", step.AfterMS)
	case decisionlog.EventDependencyLost:
		return fmt.Sprintf("reads of %s fail: %s", step.Dependency, step.Error)
	case decisionlog.EventDependencyRegained:
		return fmt.Sprintf("reads of %s work again after %.0f ms", step.Dependency, step.AwayMS)
	default:
		return string(step.Event)
	}
}

func seenBy(host string) string {
	if host == "" {
		return ""
	}
	return ", seen by " + host
}

// describeRequest describes the response, the values that determined it, and each attempt.
func describeRequest(line *decisionlog.Line) string {
	var b strings.Builder
	fmt.Fprintf(&b, "answered %d", line.Status)
	if line.Error != "" {
		fmt.Fprintf(&b, " (%s)", line.Error)
	}
	fmt.Fprintf(&b, " after %.1f of %.0f ms: route %s, service %s, customer %s, configuration %d confirmed %.0f ms before",
		line.TotalMS, line.LimitMS, line.Route, line.Service, line.Customer, line.Configuration, line.ConfigurationAgeMS)
	if line.Tokens != nil {
		fmt.Fprintf(&b, "; %.1f tokens left for all hosts, %d hosts heard", *line.Tokens, line.HostsHeard)
	}
	if line.RetryAfterMS > 0 {
		fmt.Fprintf(&b, "; to come back after %.0f ms", line.RetryAfterMS)
	}
	if line.Cause != "" {
		fmt.Fprintf(&b, "; cause: %s", line.Cause)
	}
	if line.CallerGone {
		b.WriteString("; the caller had left")
	}
	for i := range line.Attempts {
		describeAttempt(&b, i+1, &line.Attempts[i])
	}
	return b.String()
}

func describeAttempt(b *strings.Builder, number int, a *decisionlog.Attempt) {
	fmt.Fprintf(b, "\n    attempt %d at %s: %s", number, a.Upstream, a.Outcome)
	if a.Status != 0 {
		fmt.Fprintf(b, " with status %d", a.Status)
	}
	fmt.Fprintf(b, " after %.1f ms; expected load %.2f, list of upstreams %.0f ms old", a.TookMS, a.Load, a.RegistryAgeMS)
	if a.Trial {
		b.WriteString(", trial of an open breaker")
	}
	switch {
	case a.Connection != 0:
		fmt.Fprintf(b, ", connection %d to %s after %d requests", a.Connection, a.Address, a.ConnectionRequests)
	case a.Reused:
		b.WriteString(", reused connection")
	}
	if a.Cause != "" {
		fmt.Fprintf(b, "; %s", a.Cause)
	}
}

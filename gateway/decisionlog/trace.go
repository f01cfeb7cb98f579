package decisionlog

import (
	"slices"
	"time"
)

// dependencyWindow is how long before a request a lost or regained dependency is still told.
const dependencyWindow = 30 * time.Second

// Relation says why a line is a part of a trace.
type Relation string

// The relations of lines to a request.
const (
	RequestLine     Relation = "request"
	UpstreamState   Relation = "upstream"
	SettingsInForce Relation = "settings"
	HostState       Relation = "host"
	DependencyState Relation = "dependency"
)

// Step is a line of a trace.
type Step struct {
	Line
	Relation Relation
}

// Trace is what led to the answers of one request, oldest first.
type Trace struct {
	ID    string
	Steps []Step
	// Found is the number of the request's own lines; 0 if the logs do not hold it.
	Found int
	// Skipped is the number of lines that the logs say were left out, which may be the reason for a missing one.
	Skipped int64
}

// Trace collects the lines of the request and the state of its host.
func (l *Log) Trace(id string) Trace {
	t := Trace{ID: id}
	chosen := make(map[int]Relation)
	for i := range l.Lines {
		line := &l.Lines[i]
		switch line.Event {
		case EventSkipped, EventDropped:
			t.Skipped += line.Count
		case EventAnswerLate:
			if line.ID == id {
				chosen[i] = RequestLine
			}
		case EventRequest:
			if line.ID == id {
				t.Found++
				chosen[i] = RequestLine
				l.addState(line, chosen)
			}
		default:
		}
	}
	indexes := make([]int, 0, len(chosen))
	for i := range chosen {
		indexes = append(indexes, i)
	}
	slices.Sort(indexes)
	for _, i := range indexes {
		t.Steps = append(t.Steps, Step{Line: l.Lines[i], Relation: chosen[i]})
	}
	return t
}

// addState chooses the lines that tell what the request's host knew at the time of the request.
func (l *Log) addState(request *Line, chosen map[int]Relation) {
	upstreams := make(map[string]bool)
	for i := range request.Attempts {
		upstreams[request.Attempts[i].Upstream] = true
	}
	last := make(map[string]int) // the newest line about each subject before the request
	for i := range l.Lines {
		line := &l.Lines[i]
		if line.Time.After(request.Time) {
			break
		}
		if line.Host != request.Host {
			continue
		}
		during := line.Time.After(request.StartedAt())
		switch line.Event {
		case EventBreakerOpen, EventBreakerClosed, EventUpstream:
			if !upstreams[line.Upstream] {
				continue
			}
			if during {
				chosen[i] = UpstreamState
			}
			kind := "breaker "
			if line.Event == EventUpstream {
				kind = "entry "
			}
			last[kind+line.Upstream] = i
		case EventConfiguration:
			if line.Version == request.Configuration {
				last["settings"] = i
			}
		case EventConfigurationHeard:
			if line.Version > request.Configuration {
				last["newer settings"] = i
			}
		case EventStart, EventStop, EventReload:
			last["host"] = i
		case EventDependencyLost, EventDependencyRegained:
			if request.Time.Sub(line.Time) <= dependencyWindow {
				last["dependency "+line.Dependency] = i
			}
		default: // does not bear on this request
		}
	}
	for _, i := range last {
		chosen[i] = relation(l.Lines[i].Event)
	}
}

func relation(event Event) Relation {
	switch event {
	case EventBreakerOpen, EventBreakerClosed, EventUpstream:
		return UpstreamState
	case EventConfiguration, EventConfigurationHeard:
		return SettingsInForce
	case EventDependencyLost, EventDependencyRegained:
		return DependencyState
	default:
		return HostState
	}
}

package decisionlog

import (
	"slices"
	"time"

	"github.com/bronzeyard/bronzeyard/traffic/requestid"
)

// dependencyWindow is the time before a request within which the failure or recovery of a dependency is a part of its trace.
const dependencyWindow = 30 * time.Second

// Relation is the reason why a line is a part of a trace.
type Relation string

// The relations of lines to a request.
const (
	RequestLine     Relation = "request"
	UpstreamState   Relation = "upstream"
	SettingsState   Relation = "settings"
	HostState       Relation = "host"
	DependencyState Relation = "dependency"
)

// Step is a line of a trace.
type Step struct {
	Line
	Relation Relation
}

// Trace holds the lines that explain the response to one request.
type Trace struct {
	ID    string
	Steps []Step // oldest first
	// Found is the number of lines of the request itself. It is 0 if the logs do not hold the request.
	Found int
	// Skipped is the number of lines that the hosts have skipped or dropped. The request's line may be one of them.
	Skipped int64
}

// Trace collects the lines of the request with this ID and those about the state of its host. The ID is the one that the caller sent, or
// its form in the log.
func (l *Log) Trace(id string) Trace {
	t := Trace{ID: id}
	logged := requestid.ForLog(id)
	selected := make(map[int]Relation)
	for i := range l.Lines {
		line := &l.Lines[i]
		switch line.Event {
		case EventSkipped, EventDropped:
			t.Skipped += line.Count
		case EventAnswerLate:
			if line.ID == logged {
				selected[i] = RequestLine
			}
		case EventRequest:
			if line.ID == logged {
				t.Found++
				selected[i] = RequestLine
				l.addState(line, selected)
			}
		default:
		}
	}
	indexes := make([]int, 0, len(selected))
	for i := range selected {
		indexes = append(indexes, i)
	}
	slices.Sort(indexes)
	for _, i := range indexes {
		t.Steps = append(t.Steps, Step{Line: l.Lines[i], Relation: selected[i]})
	}
	return t
}

// addState selects the lines about the state of the request's host at the time of the request.
func (l *Log) addState(request *Line, selected map[int]Relation) {
	upstreams := make(map[string]bool)
	for i := range request.Attempts {
		upstreams[request.Attempts[i].Upstream] = true
	}
	last := make(map[string]int) // index of the newest line about each subject before the request
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
				selected[i] = UpstreamState
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
		default: // not related to this request
		}
	}
	for _, i := range last {
		selected[i] = relation(l.Lines[i].Event)
	}
}

func relation(event Event) Relation {
	switch event {
	case EventBreakerOpen, EventBreakerClosed, EventUpstream:
		return UpstreamState
	case EventConfiguration, EventConfigurationHeard:
		return SettingsState
	case EventDependencyLost, EventDependencyRegained:
		return DependencyState
	default:
		return HostState
	}
}

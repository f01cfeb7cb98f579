package breaker

import "github.com/bronzeyard/bronzeyard/settings"

// NoticeKind is the kind of event that a Notice reports.
type NoticeKind int

// Kinds of notice.
const (
	// NoticeSample reports a failed sample.
	NoticeSample NoticeKind = iota + 1
	// NoticeTrialStarted reports that a trial has started.
	NoticeTrialStarted
	// NoticeClosed reports that a breaker has closed after its last required trial, or because late responses arrived.
	NoticeClosed
	// NoticeTrialPassed reports that a trial succeeded and a further one is due.
	NoticeTrialPassed
	// NoticeOverdue reports an attempt that has no response yet, or whose response has now arrived.
	NoticeOverdue
	// NoticeOpenedByOverdue reports that overdue attempts have opened a breaker. It is for hosts that do not receive
	// NoticeOverdue.
	NoticeOpenedByOverdue
)

// Notice is an update about one breaker for the other hosts.
type Notice struct {
	Kind     NoticeKind
	Upstream settings.UpstreamID
	// Sample is set with NoticeSample.
	Sample Sample
	// Overdue is set with NoticeOverdue.
	Overdue OverdueUpdate
}

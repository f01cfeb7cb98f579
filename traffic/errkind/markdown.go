package errkind

import (
	"fmt"
	"strings"
)

// Markdown returns the text of the page docs/errors.md, which is generated from the table of responses.
func Markdown() string {
	var page strings.Builder
	page.WriteString(`# Errors that a host answers itself

This page is generated from the table in traffic/errkind (run "go test ./traffic/errkind -update").

Every such answer has a JSON body with the fields error, message, outcome, retryable and request_id, and these headers:

- ` + "`" + KindHeader + "`" + `: the kind.
- ` + "`" + OutcomeHeader + "`" + `: "not-run" if no upstream ran the request, in this attempt or in an earlier one with the same
  operation id; "unknown" if an upstream may have run it.
- ` + "`" + RequestIDHeader + "`" + `: the id that the caller sent, or a new one if it sent none. Log lines hold the beginning and a hash of
  one of more than 128 bytes.
- ` + "`Retry-After`" + `, in seconds, where a time is known.

"Repeat" says whether the same request may be sent again, with the same Idempotency-Key if it has one.

Hosts on an operations platform also answer ` + "`" + string(NoUpstream) + "`" + ` if no upstream is expected to have a free slot within the time
limit of the request, if all data centres with upstreams of the service are evacuated, and if all upstreams are cold and may get no more
requests now. A request that has waited for a slot until its time limit gets ` + "`" + string(DeadlineNotRun) + "`" + `.

| kind | status | outcome | repeat | meaning |
|---|---|---|---|---|
`)
	for _, kind := range Kinds() {
		response := ResponseFor(kind)
		repeat := "no"
		if response.Retryable {
			repeat = "yes"
		}
		fmt.Fprintf(&page, "| `%s` | %d | %s | %s | %s |\n", kind, response.Status, response.Outcome, repeat, response.Message)
	}
	return page.String()
}

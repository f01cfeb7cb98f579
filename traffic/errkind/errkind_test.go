package errkind

import (
	"encoding/json"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// Guards against a docs/errors.md that differs from the responses of hosts because the table was changed without the page.
func TestErrorsPageIsUpToDate(t *testing.T) {
	golden := goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md"))
	golden.Assert(t, "errors", []byte(Markdown()))
}

// Guards against a kind without a response, and against a response whose kind is missing from Kinds.
func TestTableAndListAgree(t *testing.T) {
	listed := make(map[Kind]bool)
	for _, kind := range Kinds() {
		if listed[kind] {
			t.Errorf("kind %s is listed twice", kind)
		}
		listed[kind] = true
		if _, ok := responses[kind]; !ok {
			t.Errorf("kind %s has no response", kind)
		}
	}
	if len(listed) != len(responses) {
		t.Errorf("%d kinds are listed, %d have a response", len(listed), len(responses))
	}
}

// Guards against a response that lacks its outcome or sends the internal cause to the caller.
func TestWrite(t *testing.T) {
	recorder := httptest.NewRecorder()
	Write(recorder, "r-1", &Error{Kind: RateLimited, RetryAfter: 1200 * time.Millisecond, Cause: errors.New("secret detail")})
	if recorder.Code != 429 || recorder.Header().Get("Retry-After") != "2" || recorder.Header().Get(OutcomeHeader) != "not-run" {
		t.Errorf("got %d with header %v", recorder.Code, recorder.Header())
	}
	var got Body
	if err := json.Unmarshal(recorder.Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	want := Body{Error: RateLimited, Message: responses[RateLimited].Message, Outcome: NotRun, Retryable: true, RequestID: "r-1"}
	if got != want {
		t.Errorf("got body %+v, want %+v", got, want)
	}
}

// Guards against a response with status 0 for a kind that is not in the table.
func TestUnknownKindIsInternal(t *testing.T) {
	if got := ResponseFor("no_such_kind"); got != responses[Internal] {
		t.Errorf("got %+v", got)
	}
}

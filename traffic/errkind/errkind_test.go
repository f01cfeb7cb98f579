package errkind

import (
	"encoding/json"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// Guards against a page that no longer says what hosts answer.
func TestErrorsPageIsUpToDate(t *testing.T) {
	golden := goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md"))
	golden.Assert(t, "errors", []byte(Markdown()))
}

// Guards against a kind that is listed without an answer or answered without being listed.
func TestTableAndListAgree(t *testing.T) {
	listed := make(map[Kind]bool)
	for _, kind := range Kinds() {
		if listed[kind] {
			t.Errorf("kind %s is listed twice", kind)
		}
		listed[kind] = true
		if _, ok := answers[kind]; !ok {
			t.Errorf("kind %s has no answer", kind)
		}
	}
	if len(listed) != len(answers) {
		t.Errorf("%d kinds are listed, %d have an answer", len(listed), len(answers))
	}
}

// Guards against an answer that loses its outcome or shows callers the internal cause.
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
	want := Body{Error: RateLimited, Message: answers[RateLimited].Message, Outcome: NotRun, Retryable: true, RequestID: "r-1"}
	if got != want {
		t.Errorf("got body %+v, want %+v", got, want)
	}
}

func TestUnknownKindIsInternal(t *testing.T) {
	if got := ResponseFor("no_such_kind"); got != answers[Internal] {
		t.Errorf("got %+v", got)
	}
}

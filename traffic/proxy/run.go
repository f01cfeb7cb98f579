package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/bronzeyard/bronzeyard/traffic/errkind"
	"github.com/bronzeyard/bronzeyard/traffic/forward"
)

// run makes one attempt and answers.
func (x *exchange) run() {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	x.r.Body = http.MaxBytesReader(x.w, x.r.Body, x.policy.MaxRequestBytes)
	x.request.StreamBody(x.r, x.keys)
	service, kindErr := x.stillAllowed()
	if kindErr != nil {
		x.refuse(kindErr)
		return
	}
	release, err := x.h.options.Queue.Acquire(ctx, service, x.customer)
	if err != nil {
		x.refuse(asKind(err, errkind.Overloaded))
		return
	}
	defer release()
	service, kindErr = x.stillAllowed()
	if kindErr != nil {
		x.refuse(kindErr)
		return
	}
	attempt, err := x.h.options.Selector.Pick(service, &x.policy, nil)
	if err != nil {
		x.refuse(asKind(err, errkind.NoUpstream))
		return
	}
	start := time.Now()
	answer, err := x.h.options.Forwarder.Do(ctx, x.request, forward.Target{Address: attempt.Upstream.Address})
	if err != nil {
		attempt.Done(Result{Outcome: OutcomeFailed, Total: time.Since(start)})
		x.refuse(errkind.New(errkind.OutcomeUnknown, err))
		return
	}
	defer answer.Close()
	attempt.Done(Result{Outcome: OutcomeOK, Status: answer.Status, FirstByte: answer.FirstByte, Total: time.Since(start), Connected: true})
	x.w.Header().Set(errkind.RequestIDHeader, x.id)
	if err := answer.WriteTo(x.w); err != nil && !errors.Is(err, context.Canceled) {
		panic(http.ErrAbortHandler)
	}
	x.event.Status = answer.Status
	x.observe()
}

package host

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Leave removes the host from the fleet without interrupting requests, and then lets Run return. The host is first omitted
// from address responses. It continues to serve for the drain time, in which earlier address responses expire at the
// callers. It then waits for the requests in flight, hands over its operations, returns its rate slices, and removes
// itself from the epoch. If ctx ends before that, the other hosts take over the rest, as after a crash. Further calls wait
// for the first one and return nil.
func (h *Host) Leave(ctx context.Context) error {
	var err error
	h.leaveOnce.Do(func() {
		close(h.leaving)
		defer close(h.left)
		err = h.leave(ctx)
	})
	<-h.left
	return err
}

func (h *Host) leave(ctx context.Context) error {
	h.options.Logger.Info().Msg("leaving the fleet")
	announced := h.membership.Leave(ctx)
	timer := time.NewTimer(time.Duration(h.config.DrainTime))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	steps := []struct {
		name string
		run  func(context.Context) error
	}{
		{"shutdown of the caller listener", h.callerServer.Shutdown},
		{"drain of requests in flight", h.handler.Drain},
		{"handover of operations", h.operations.HandOver},
		{"return of rate slices", h.limiter.ReleaseSlices},
		{"removal from the epoch", h.membership.Remove},
	}
	errs := []error{announced}
	for _, step := range steps {
		if err := step.run(ctx); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", step.name, err))
		}
	}
	h.options.Logger.Info().Msg("left the fleet")
	return errors.Join(errs...)
}

// handoverTimeout is the time for the steps after the drain time. The other hosts take over what is not handed over by
// then, as after a crash.
const handoverTimeout = 30 * time.Second

// LeaveTimeout returns the time after which Leave should be cancelled.
func (h *Host) LeaveTimeout() time.Duration {
	return time.Duration(h.config.DrainTime) + handoverTimeout
}

// Drain implements admin.Fleet. The leave continues after the request that started it has ended.
func (h *Host) Drain(ctx context.Context) error {
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.LeaveTimeout())
		defer cancel()
		if err := h.Leave(ctx); err != nil {
			h.options.Logger.Warn().Err(err).Msg("the host did not leave the fleet completely")
		}
	}()
	return nil
}

func (h *Host) isLeaving() bool {
	select {
	case <-h.leaving:
		return true
	default:
		return false
	}
}

// closeWhileLeaving makes callers close their connection after each response while the host leaves. Otherwise connections
// could be idle in their pools when the listener closes.
func (h *Host) closeWhileLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.isLeaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

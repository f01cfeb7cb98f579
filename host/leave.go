package host

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Leave takes the host out of the fleet without cutting a request, and then lets Run return. The host first disappears
// from address answers and goes on serving for the drain time, in which callers give up the answers that name it. It then
// waits for the requests in flight, hands over what it owns and holds, and removes itself from the epoch. If ctx ends
// before, the rest is left to the other hosts, as after a crash. Further calls wait for the first.
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
		{"end of requests", h.callerServer.Shutdown},
		{"end of operations", h.handler.Drain},
		{"hand-over of operations", h.operations.HandOver},
		{"return of rate shares", h.limiter.HandBack},
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

// handoverTimeout is how long a leave may take beyond the drain time. What is not handed over by then is left to the other
// hosts, as after a crash.
const handoverTimeout = 30 * time.Second

// LeaveTimeout is the time that a leave is given.
func (h *Host) LeaveTimeout() time.Duration {
	return time.Duration(h.config.DrainTime) + handoverTimeout
}

// Drain implements admin.Fleet.
func (h *Host) Drain(ctx context.Context) error {
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.LeaveTimeout())
		defer cancel()
		if err := h.Leave(ctx); err != nil {
			h.options.Logger.Warn().Err(err).Msg("leaving the fleet was not completed")
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

// closeWhileLeaving tells callers to close their connection after each answer while the host leaves, so that no
// connection is idle in their pools when the listener closes.
func (h *Host) closeWhileLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.isLeaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

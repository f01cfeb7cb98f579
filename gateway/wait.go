package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// readConfiguration reads the newest configuration, or waits for the next one. News that this host is behind ends the wait. The
// error is ErrInterrupted if others are to wait in place of this host.
func (f *followers) readConfiguration(ctx context.Context, known bool) (*Configuration, Position, configurationSource, error) {
	if !known {
		next, at, err := f.readWhole(ctx)
		return next, at, wholeRead, err
	}
	waiting, cancel := context.WithTimeout(ctx, configurationWait+callTimeout)
	defer cancel()
	w := &wait{followers: f, after: f.position, ended: make(chan struct{}), interrupt: make(chan struct{})}
	defer close(w.ended)
	go w.watch()
	next, at, err := f.options.Configurations.ConfigurationAfter(waiting, f.position, configurationWait, w.interrupt)
	if !errors.Is(err, ErrInterrupted) || w.preceded.Load() {
		return next, at, feedRead, err
	}
	if w.storeBeyond(w.after) && !f.newer.beyond(f.version()) {
		return f.readChanges(ctx)
	}
	next, at, err = f.readWhole(ctx)
	return next, at, hintedRead, err
}

// wait is a read that waits at the store for a change of the configuration.
type wait struct {
	*followers
	after Position
	// ended is closed when the read has ended. interrupt ends it.
	ended, interrupt chan struct{}
	// preceded tells that the wait was ended because others come first.
	preceded atomic.Bool
}

// watch ends the wait when it may go on although there is news. The store may not answer it, or may have forgotten it while it
// was away; its connection may have gone silent; after a pause of this process, what it has brought may be long overtaken. A
// host that has just started begins to wait before it knows the others, and leaves the wait to them after precededFor.
func (w *wait) watch() {
	check := time.NewTicker(waitersCheck)
	defer check.Stop()
	cameFirst := time.Now()
	for {
		// The news may have come, and its signal been received, while the wait before this one ended.
		if w.behind() && w.endAfterGrace() {
			return
		}
		w.confirmUnchanged(w.after)
		select {
		case <-w.rereadConfiguration:
		case <-w.retryConfiguration:
			close(w.interrupt)
			return
		case <-w.rereadAfterPause.configuration:
			close(w.interrupt)
			return
		case now := <-check.C:
			if w.comesFirst(now) {
				cameFirst = now
			}
			if now.Sub(cameFirst) >= precededFor {
				w.preceded.Store(true)
				close(w.interrupt)
				return
			}
		case <-w.ended:
			return
		}
	}
}

// behind reports whether another host has a newer version, or the store has changed since the wait began.
func (w *wait) behind() bool { return w.newer.beyond(w.version()) || w.storeBeyond(w.after) }

// endAfterGrace ends the wait unless it ends by itself in the grace, and reports whether it has ended. Without a grace most
// hosts would read each version twice, because it is in force at some host before all others have read it.
func (w *wait) endAfterGrace() bool {
	grace := time.NewTimer(time.Duration(hintGracePart * float64(w.boundsNow().MaxConfigurationDelay)))
	defer grace.Stop()
	select {
	case <-grace.C:
		if !w.behind() {
			return false
		}
	case <-w.rereadAfterPause.configuration:
	case <-w.ended:
		return true
	}
	close(w.interrupt)
	return true
}

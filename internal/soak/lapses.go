package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/boragelock/boragelock/platform"
	"github.com/boragelock/boragelock/platform/standin"
)

// lapseStream is the random stream of the outages in which announcements lapse.
const lapseStream = 22

// Timing of lapses.
const (
	// maxLapsePause bounds the time between two outages, minLapseOutage and maxLapseOutage
	// their length.
	maxLapsePause                  = 6 * time.Second
	minLapseOutage, maxLapseOutage = time.Second, 4 * time.Second
	// maxAnnounceDelay bounds the time until live targets announce themselves again. It is
	// below the time for which hosts keep targets that lapsed.
	maxAnnounceDelay = 1500 * time.Millisecond
)

// lapseAnnouncements lets the announcements of all targets lapse during outages of the
// store, until the context ends.
func (w *testbed) lapseAnnouncements(ctx context.Context, rnd *rand.Rand) {
	upTo := func(d time.Duration) time.Duration { return time.Duration(rnd.Int64N(int64(d))) }
	for sleep(ctx, upTo(maxLapsePause)) {
		outage, delay := minLapseOutage+upTo(maxLapseOutage-minLapseOutage), upTo(maxAnnounceDelay)
		w.logEvent("announcements lapse in an outage of %v, written again after %v", outage.Round(time.Millisecond), delay.Round(time.Millisecond))
		w.store.SetFault(standin.Unavailable)
		time.Sleep(outage)
		for _, t := range w.targets {
			w.store.Put(platform.TopicTargets, t.id, nil)
		}
		w.store.SetFault(standin.NoFault)
		time.Sleep(delay)
		for _, t := range w.targets {
			w.announce(t)
		}
	}
}

package membership

import "time"

// Config sets the limits of a Tracker.
type Config struct {
	// LostFailures is the number of consecutive failures on new connections after
	// which a node is lost. Default 2.
	LostFailures int
	// LostAfter is the shortest time without a response after which a node is
	// lost. Default 350 ms.
	LostAfter time.Duration
	// MinFailureTime is the shortest time since the first failure after which a
	// node is lost. It exceeds the time between two attempts to reach a node, so
	// that a fault on this host's side affects the other nodes too. Default 250 ms.
	MinFailureTime time.Duration
	// LocalFaultShare is a share of the watched targets that are not lost. If more
	// than this share fail together, a fault on this host's side is assumed.
	// Default 0.5.
	LocalFaultShare float64
	// MaxReportAge is how long a peer's report of a node is used. Default 500 ms.
	MaxReportAge time.Duration
	// MaxListAge is how long the platform's list is used after it was read.
	// Default 60 s.
	MaxListAge time.Duration
	// FlapDelay is how long a node receives no shards after its first return or
	// restart; it doubles with each further one up to FlapDelayMax. Defaults 30 s
	// and 10 min.
	FlapDelay, FlapDelayMax time.Duration
	// FlapResetAfter is the time without a return or restart after which the
	// delay starts again at FlapDelay. Default 20 min.
	FlapResetAfter time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		LostFailures: 2, LostAfter: 350 * time.Millisecond,
		MinFailureTime: 250 * time.Millisecond, LocalFaultShare: 0.5,
		MaxReportAge: 500 * time.Millisecond, MaxListAge: time.Minute,
		FlapDelay: 30 * time.Second, FlapDelayMax: 10 * time.Minute, FlapResetAfter: 20 * time.Minute,
	}
}

package membership

import "time"

// Config sets the limits of a Tracker.
type Config struct {
	// LostFailures is the number of failures in a row on new connections after
	// which a node counts as lost. Default 2.
	LostFailures int
	// LostAfter is the shortest time without an answer before that. Default 350 ms.
	LostAfter time.Duration
	// Settle is the shortest time since the first failure before that. It
	// exceeds the time between two attempts at a node, so that a fault on this
	// host's side shows at the other nodes as well. Default 250 ms.
	Settle time.Duration
	// PartitionShare is the share of the watched targets that are not lost; when
	// more than this fail together, a fault on this host's side is assumed.
	// Default 0.5.
	PartitionShare float64
	// ReportAge is how long a peer's report of a node is believed. Default 500 ms.
	ReportAge time.Duration
	// ListAge is how long the platform's list is used after it was read.
	// Default 60 s.
	ListAge time.Duration
	// FlapDelay is how long a node receives no shards after its first return;
	// it doubles with each further return up to FlapDelayMax. Defaults 30 s
	// and 10 min.
	FlapDelay, FlapDelayMax time.Duration
	// FlapForget is how long a node must stay up for its returns to be
	// forgotten. Default 20 min.
	FlapForget time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		LostFailures: 2, LostAfter: 350 * time.Millisecond,
		Settle: 250 * time.Millisecond, PartitionShare: 0.5,
		ReportAge: 500 * time.Millisecond, ListAge: time.Minute,
		FlapDelay: 30 * time.Second, FlapDelayMax: 10 * time.Minute, FlapForget: 20 * time.Minute,
	}
}

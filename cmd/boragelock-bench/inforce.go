package main

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/boragelock/boragelock/internal/bench"
)

// configLoads maps each value of -config-load to the series of measurements, in
// order: true means with load.
var configLoads = map[string][]bool{"idle": {false}, "loaded": {true}, "both": {false, true}}

// runInForce measures how long configuration changes take to be in force on all
// entry hosts. It writes one JSON line for each condition.
func runInForce(ctx context.Context, cfg config, stdout io.Writer) error {
	dir, err := os.MkdirTemp("", "in-force-bin-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if cfg.opts.Binaries, err = bench.FindBinaries(ctx, dir); err != nil {
		return err
	}
	enc := json.NewEncoder(stdout)
	return bench.MeasureInForce(ctx, cfg.opts, cfg.configChanges, configLoads[cfg.configLoad], func(p bench.InForcePoint) error { return enc.Encode(p) })
}

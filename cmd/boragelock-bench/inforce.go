package main

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/boragelock/boragelock/internal/bench"
)

// changeLoads maps the values of -config-load to whether load is offered, in
// order.
var changeLoads = map[string][]bool{"idle": {false}, "loaded": {true}, "both": {false, true}}

// inForce measures how long changes take to be in force everywhere and writes
// one JSON line for each condition.
func inForce(ctx context.Context, cfg config, stdout io.Writer) error {
	dir, err := os.MkdirTemp("", "in-force-bin-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if cfg.opts.Binaries, err = bench.FindBinaries(ctx, dir); err != nil {
		return err
	}
	enc := json.NewEncoder(stdout)
	return bench.MeasureInForce(ctx, cfg.opts, cfg.changes, changeLoads[cfg.changeLoad], func(p bench.InForcePoint) error { return enc.Encode(p) })
}

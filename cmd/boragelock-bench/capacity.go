package main

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/boragelock/boragelock/internal/bench"
)

// capacity measures all sizes and writes one JSON line for each.
func capacity(ctx context.Context, cfg config, stdout io.Writer) error {
	dir, err := os.MkdirTemp("", "capacity-bin-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	bin, err := bench.FindBinaries(ctx, dir)
	if err != nil {
		return err
	}
	enc := json.NewEncoder(stdout)
	for _, size := range bench.DefaultSizes {
		p, err := bench.MeasureCapacity(ctx, size, bin, cfg.opts.Logger)
		if err != nil {
			return err
		}
		if err := enc.Encode(p); err != nil {
			return err
		}
	}
	return nil
}

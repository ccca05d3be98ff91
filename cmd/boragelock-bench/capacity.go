package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/boragelock/boragelock/internal/bench"
)

// runCapacity measures the selected dimensions. It writes one JSON line for each
// size and, after the sizes of a dimension, one for each fit. For a size that
// fails it writes the error and continues with the next size.
func runCapacity(ctx context.Context, cfg config, stdout io.Writer) error {
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
	for _, d := range bench.Dimensions {
		if cfg.dimensions != "" && !slices.Contains(strings.Split(cfg.dimensions, ","), d.Name) {
			continue
		}
		if err := runDimension(ctx, d, bin, cfg, enc); err != nil {
			return err
		}
	}
	return nil
}

func runDimension(ctx context.Context, d bench.Dimension, bin bench.Binaries, cfg config, enc *json.Encoder) error {
	var points []bench.CapacityPoint
	for _, size := range d.Sizes() {
		p, err := bench.MeasureCapacity(ctx, size, bin, cfg.opts.Logger)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			p = bench.CapacityPoint{Size: size, Error: err.Error()}
		}
		if err := enc.Encode(p); err != nil {
			return err
		}
		points = append(points, p)
	}
	for _, f := range bench.FitDimension(d, points) {
		if err := enc.Encode(f); err != nil {
			return err
		}
	}
	return nil
}

package coordinator

import (
	"errors"

	"github.com/boragelock/boragelock/platform"
)

// noteStoreCall counts a call to the store and notes the era that its response stated.
func (c *Coordinator) noteStoreCall(call string, era uint64, err error) {
	c.metrics.storeCall(call, err)
	var e *platform.Error
	if errors.As(err, &e) {
		era = e.Era
	}
	c.noteEra(era)
}

// noteEra notes an era of the store. A later one means that the store came back from a
// copy that is seconds old.
func (c *Coordinator) noteEra(era uint64) {
	for {
		known := c.storeEra.Load()
		if era <= known {
			return
		}
		if !c.storeEra.CompareAndSwap(known, era) {
			continue
		}
		if known != 0 {
			c.cfg.Log.Warn("store_restored", "era", era, "previous", known, "operator", c.operator.position(),
				"targets", c.targets.position(), "control", c.control.position(), "leading", c.Leading())
		}
		return
	}
}

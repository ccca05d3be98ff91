package entry

import (
	"net/http"

	"github.com/hashicorp/go-hclog"

	"github.com/boragelock/boragelock/internal/control"
	"github.com/boragelock/boragelock/internal/operator"
)

// OperatorHandler returns a Config.NewOperatorHandler that serves the operator
// interface.
func OperatorHandler(log hclog.Logger) func(*control.Control) http.Handler {
	return func(c *control.Control) http.Handler { return operator.NewHandler(c, log.Named("operator")) }
}

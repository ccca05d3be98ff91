// Package httpplatform is the client side of the platform over HTTP: it
// implements platform.Log, platform.HostList and platform.Target. The form of
// the requests is described in docs/platform.md.
//
// A failure has platform.CodeUnavailable only when no byte of the request can
// have reached the server, or when the server itself says that the request had
// no effect. All other lost answers have platform.CodeUnknownOutcome. Appends
// and grants are never sent twice; net/http may repeat a GET on a new
// connection when an idle one turns out to be closed.
//
// A request whose context ends closes its connection, and a client keeps at
// most one idle connection to a server, so the request that follows a timeout
// is made on a new connection.
package httpplatform

// Package httpplatform is the HTTP client of the platform: it implements
// provider.Log, provider.HostList and provider.Target. The requests are
// described in docs/platform.md.
//
// A failure has provider.CodeUnavailable only when no byte of the request can
// have reached the server, or when the server itself reports that the request
// had no effect. All other lost responses have provider.CodeUnknownOutcome.
// Appends and grants are never sent twice; net/http may repeat a GET on a new
// connection when an idle one turns out to be closed.
//
// A request whose context ends closes its connection, and a client keeps at
// most one idle connection to a server, so the request that follows a timeout
// is made on a new connection.
package httpplatform

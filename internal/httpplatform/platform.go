package httpplatform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/boragelock/boragelock/provider"
)

// Paths of the HTTP interface.
const (
	PathAppend = "/v1/log/append"
	PathRead   = "/v1/log/read"
	PathHosts  = "/v1/hosts"
	PathGrant  = "/v1/grant"
	PathLoad   = "/v1/load"
	// PathWork is followed by the key.
	PathWork = "/v1/work/"
)

// AppendResponse is the response to an append.
type AppendResponse struct {
	Offset int64 `json:"offset"`
}

// HostsResponse is the response to a request for the list of hosts.
type HostsResponse struct {
	Hosts []provider.Host `json:"hosts"`
}

// Log implements provider.Log.
type Log struct{ *client }

// NewLog returns the log at addr (host:port or URL).
func NewLog(addr string, o Options) *Log { return &Log{newClient(addr, o)} }

// Append implements provider.Log.
func (l *Log) Append(ctx context.Context, data []byte) (int64, error) {
	out := AppendResponse{Offset: -1}
	if err := l.do(ctx, "log.append", http.MethodPost, PathAppend, data, &out); err != nil {
		return 0, err
	}
	if out.Offset < 0 {
		return 0, &provider.Error{Op: "log.append", Code: provider.CodeMalformed, Detail: "response has no offset"}
	}
	return out.Offset, nil
}

// Read implements provider.Log.
func (l *Log) Read(ctx context.Context, from int64, limit int, wait time.Duration) (provider.Batch, error) {
	path := fmt.Sprintf("%s?from=%d&limit=%d&wait_ms=%d", PathRead, from, limit, wait.Milliseconds())
	out := provider.Batch{EndOffset: -1}
	if err := l.do(ctx, "log.read", http.MethodGet, path, nil, &out); err != nil {
		return provider.Batch{}, err
	}
	if from == 0 {
		from = out.FirstOffset
	}
	for i, r := range out.Records {
		if r.Offset != from+int64(i) {
			return provider.Batch{}, &provider.Error{Op: "log.read", Code: provider.CodeMalformed,
				Detail: fmt.Sprintf("record %d has offset %d, expected %d", i, r.Offset, from+int64(i))}
		}
	}
	if out.EndOffset < from+int64(len(out.Records)) && len(out.Records) > 0 || out.EndOffset < 0 {
		return provider.Batch{}, &provider.Error{Op: "log.read", Code: provider.CodeMalformed,
			Detail: fmt.Sprintf("end offset %d does not match the records", out.EndOffset)}
	}
	return out, nil
}

// HostList implements provider.HostList.
type HostList struct{ *client }

// NewHostList returns the list of hosts at addr (host:port or URL).
func NewHostList(addr string, o Options) *HostList { return &HostList{newClient(addr, o)} }

// Hosts implements provider.HostList.
func (h *HostList) Hosts(ctx context.Context) ([]provider.Host, error) {
	var out HostsResponse
	if err := h.do(ctx, "hosts", http.MethodGet, PathHosts, nil, &out); err != nil {
		return nil, err
	}
	return out.Hosts, nil
}

// Target implements provider.Target.
type Target struct{ *client }

// NewTarget returns the control interface of the target at addr (host:port or URL).
func NewTarget(addr string, o Options) *Target { return &Target{newClient(addr, o)} }

// Grant implements provider.Target.
func (t *Target) Grant(ctx context.Context, g provider.Grant) (provider.GrantReply, error) {
	body, err := json.Marshal(g)
	if err != nil {
		return provider.GrantReply{}, &provider.Error{Op: "target.grant", Code: provider.CodeUnavailable, Detail: "grant could not be encoded", Err: err}
	}
	var out provider.GrantReply
	if err := t.do(ctx, "target.grant", http.MethodPost, PathGrant, body, &out); err != nil {
		return provider.GrantReply{}, err
	}
	if out.Result == "" {
		return provider.GrantReply{}, &provider.Error{Op: "target.grant", Code: provider.CodeMalformed, Detail: "response has no result"}
	}
	return out, nil
}

// Load implements provider.Target.
func (t *Target) Load(ctx context.Context) (provider.LoadReport, error) {
	var out provider.LoadReport
	if err := t.do(ctx, "target.load", http.MethodGet, PathLoad, nil, &out); err != nil {
		return provider.LoadReport{}, err
	}
	return out, nil
}

var (
	_ provider.Log      = (*Log)(nil)
	_ provider.HostList = (*HostList)(nil)
	_ provider.Target   = (*Target)(nil)
)

package httpplatform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/boragelock/boragelock/platform"
)

// Paths of the HTTP form.
const (
	PathAppend = "/v1/log/append"
	PathRead   = "/v1/log/read"
	PathHosts  = "/v1/hosts"
	PathGrant  = "/v1/grant"
	PathLoad   = "/v1/load"
	// PathWork is followed by the key.
	PathWork = "/v1/work/"
)

// Appended is the answer to an append.
type Appended struct {
	Offset int64 `json:"offset"`
}

// HostsAnswer is the answer to a request for the list of hosts.
type HostsAnswer struct {
	Hosts []platform.Host `json:"hosts"`
}

// Log implements platform.Log.
type Log struct{ *client }

// NewLog returns the log at addr (host:port or URL).
func NewLog(addr string, o Options) *Log { return &Log{newClient(addr, o)} }

// Append implements platform.Log.
func (l *Log) Append(ctx context.Context, data []byte) (int64, error) {
	out := Appended{Offset: -1}
	if err := l.do(ctx, "log.append", http.MethodPost, PathAppend, data, &out); err != nil {
		return 0, err
	}
	if out.Offset < 0 {
		return 0, &platform.Error{Op: "log.append", Code: platform.CodeMalformed, Detail: "answer has no offset"}
	}
	return out.Offset, nil
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, from int64, limit int, wait time.Duration) (platform.Batch, error) {
	path := fmt.Sprintf("%s?from=%d&limit=%d&wait_ms=%d", PathRead, from, limit, wait.Milliseconds())
	out := platform.Batch{End: -1}
	if err := l.do(ctx, "log.read", http.MethodGet, path, nil, &out); err != nil {
		return platform.Batch{}, err
	}
	if from == 0 {
		from = out.First
	}
	for i, r := range out.Records {
		if r.Offset != from+int64(i) {
			return platform.Batch{}, &platform.Error{Op: "log.read", Code: platform.CodeMalformed,
				Detail: fmt.Sprintf("record %d has offset %d, expected %d", i, r.Offset, from+int64(i))}
		}
	}
	if out.End < from+int64(len(out.Records)) && len(out.Records) > 0 || out.End < 0 {
		return platform.Batch{}, &platform.Error{Op: "log.read", Code: platform.CodeMalformed,
			Detail: fmt.Sprintf("end %d does not fit the records", out.End)}
	}
	return out, nil
}

// HostList implements platform.HostList.
type HostList struct{ *client }

// NewHostList returns the list of hosts at addr (host:port or URL).
func NewHostList(addr string, o Options) *HostList { return &HostList{newClient(addr, o)} }

// Hosts implements platform.HostList.
func (h *HostList) Hosts(ctx context.Context) ([]platform.Host, error) {
	var out HostsAnswer
	if err := h.do(ctx, "hosts", http.MethodGet, PathHosts, nil, &out); err != nil {
		return nil, err
	}
	return out.Hosts, nil
}

// Target implements platform.Target.
type Target struct{ *client }

// NewTarget returns the control side of the target at addr (host:port or URL).
func NewTarget(addr string, o Options) *Target { return &Target{newClient(addr, o)} }

// Grant implements platform.Target.
func (t *Target) Grant(ctx context.Context, g platform.Grant) (platform.GrantReply, error) {
	body, err := json.Marshal(g)
	if err != nil {
		return platform.GrantReply{}, &platform.Error{Op: "target.grant", Code: platform.CodeUnavailable, Detail: "grant could not be encoded", Err: err}
	}
	var out platform.GrantReply
	if err := t.do(ctx, "target.grant", http.MethodPost, PathGrant, body, &out); err != nil {
		return platform.GrantReply{}, err
	}
	if out.Result == "" {
		return platform.GrantReply{}, &platform.Error{Op: "target.grant", Code: platform.CodeMalformed, Detail: "answer has no result"}
	}
	return out, nil
}

// Load implements platform.Target.
func (t *Target) Load(ctx context.Context) (platform.LoadReport, error) {
	var out platform.LoadReport
	if err := t.do(ctx, "target.load", http.MethodGet, PathLoad, nil, &out); err != nil {
		return platform.LoadReport{}, err
	}
	return out, nil
}

var (
	_ platform.Log      = (*Log)(nil)
	_ platform.HostList = (*HostList)(nil)
	_ platform.Target   = (*Target)(nil)
)

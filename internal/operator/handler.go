package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/hashicorp/go-hclog"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/journal"
)

// Paths of the operator interface.
const (
	PathStatus      = "/v1/operator/status"
	PathConfig      = "/v1/operator/config"
	PathAssignments = "/v1/operator/assignments"
	PathHistory     = "/v1/operator/history"
	PathChanges     = "/v1/operator/changes"
)

// maxRequestBytes limits the body of a request.
const maxRequestBytes = 1 << 20

// maxRecentConfigs is the number of configurations that a handler keeps to list
// what changed in a conflict.
const maxRecentConfigs = 64

// Handler serves the operator interface.
type Handler struct {
	control Control
	log     hclog.Logger
	mux     *http.ServeMux

	mu            sync.Mutex
	recentConfigs map[int64]*contract.State
}

// NewHandler returns a handler; log may be nil.
func NewHandler(control Control, log hclog.Logger) *Handler {
	if log == nil {
		log = hclog.NewNullLogger()
	}
	h := &Handler{control: control, log: log, mux: http.NewServeMux(), recentConfigs: map[int64]*contract.State{}}
	h.handle("GET "+PathStatus, h.status)
	h.handle("GET "+PathConfig, h.config)
	h.handle("GET "+PathAssignments, h.assignments)
	h.handle("GET "+PathHistory, h.history)
	h.handle("POST "+PathChanges, h.change)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) handle(pattern string, f func(*http.Request) (any, error)) {
	h.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		body, err := f(r)
		status := http.StatusOK
		if err != nil {
			fail := toFailure(err)
			status, body = fail.status(), fail
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		if err := json.NewEncoder(w).Encode(body); err != nil {
			h.log.Debug("cannot write response", "path", r.URL.Path, "error", err)
		}
	})
}

// view returns the current view and keeps its configuration for later
// conflicts. It fails with *Failure.
func (h *Handler) view() (*view.View, error) {
	v := h.control.View()
	if v == nil || v.State == nil || v.State.Config == nil {
		return nil, &Failure{Code: CodeNoState, Message: "this entry host has no configuration yet"}
	}
	h.storeRecentConfig(v.State.Config)
	return v, nil
}

func (h *Handler) storeRecentConfig(c *contract.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recentConfigs[c.Version] = c
	if len(h.recentConfigs) > maxRecentConfigs {
		delete(h.recentConfigs, slices.Min(slices.Collect(maps.Keys(h.recentConfigs))))
	}
}

func (h *Handler) recentConfig(version int64) *contract.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.recentConfigs[version]
}

func (h *Handler) status(*http.Request) (any, error) { return h.control.Status(), nil }

func (h *Handler) config(*http.Request) (any, error) {
	v, err := h.view()
	if err != nil {
		return nil, err
	}
	return ConfigResponse{Config: v.State.Config}, nil
}

func (h *Handler) assignments(r *http.Request) (any, error) {
	v, err := h.view()
	if err != nil {
		return nil, err
	}
	workload, target := r.URL.Query().Get("workload"), r.URL.Query().Get("target")
	out := []Assignment{}
	for _, name := range slices.Sorted(maps.Keys(v.State.Table.Workloads)) {
		if workload != "" && workload != name {
			continue
		}
		table := v.State.Table.Workloads[name]
		hot := map[int32]string{}
		for key, shard := range table.HotKeys {
			hot[shard] = key
		}
		for n, s := range table.Shards {
			if s.Owner == "" || (target != "" && s.Owner != target && s.PreviousOwner != target) {
				continue
			}
			out = append(out, Assignment{
				Workload: name, Shard: int32(n), Owner: s.Owner, Epoch: s.Epoch,
				UnreleasedEpoch: s.UnreleasedEpoch, PreviousOwner: s.PreviousOwner, HotKey: hot[int32(n)],
			})
		}
	}
	return out, nil
}

func (h *Handler) history(r *http.Request) (any, error) {
	src, ok := h.control.(HistorySource)
	if !ok {
		return nil, &Failure{Code: CodeNotSupported, Message: "this entry host cannot list changes"}
	}
	all, err := src.Changes(r.Context())
	if err != nil {
		return nil, &Failure{Code: CodeNotAccepted, Message: err.Error()}
	}
	customer := r.URL.Query().Get("customer")
	out := []ChangeRecord{}
	for _, c := range all {
		if customer == "" || slices.ContainsFunc(c.Change.Items, func(it contract.Item) bool {
			return it.Contract != nil && it.Contract.Customer == customer
		}) {
			out = append(out, withShortHashes(c))
		}
	}
	return out, nil
}

// withShortHashes returns a copy of the record with shortened credential hashes.
func withShortHashes(r ChangeRecord) ChangeRecord {
	r.Change.Items = slices.Clone(r.Change.Items)
	for i, it := range r.Change.Items {
		if it.Contract == nil {
			continue
		}
		c := *it.Contract
		c.CredentialHashes = slices.Clone(c.CredentialHashes)
		for j, h := range c.CredentialHashes {
			c.CredentialHashes[j] = ShortHash(h)
		}
		r.Change.Items[i].Contract = &c
	}
	return r
}

func (h *Handler) change(r *http.Request) (any, error) {
	var req ChangeRequest
	dec := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxRequestBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&req); err != nil {
		return nil, &contract.InvalidError{Field: "body", Value: "(not decoded)", Allowed: "a change of at most " + strconv.Itoa(maxRequestBytes) + " bytes"}
	}
	v, err := h.view()
	if err != nil {
		return nil, err
	}
	next, err := h.checkChange(v, req)
	if err != nil {
		return nil, err
	}
	answer := ChangeResponse{Version: next.Version, DryRun: req.DryRun, Changes: Diff(v.State.Config, next)}
	if req.DryRun {
		answer.Version = v.State.Config.Version
		return answer, nil
	}
	res, err := h.control.Append(r.Context(), journal.KindChange, req.Change)
	h.log.Info("change requested", "operator", req.Operator, "from_version", req.FromVersion,
		"items", len(req.Items), "offset", res.Offset, "outcome", res.Outcome, "error", err)
	if err != nil {
		return nil, appendFailure(err)
	}
	answer.Offset = res.Offset
	return h.resultResponse(answer, res)
}

// checkChange validates a change and returns the configuration after it.
func (h *Handler) checkChange(v *view.View, req ChangeRequest) (*contract.State, error) {
	current := v.State.Config
	if req.FromVersion < 1 {
		return nil, &contract.InvalidError{Field: "from_version", Value: fmt.Sprint(req.FromVersion), Allowed: "the version that the change is based on"}
	}
	if req.FromVersion > current.Version {
		return nil, &Failure{Code: CodeNoState, Message: fmt.Sprintf("this entry host is behind: it has version %d", current.Version)}
	}
	if req.Operator == "" {
		return nil, &contract.InvalidError{Field: "operator", Value: "", Allowed: "the name of the operator"}
	}
	next, err := current.Apply(req.Change)
	if err != nil {
		return nil, h.addConflictChanges(err)
	}
	for _, it := range req.Items {
		if it.Contract != nil && !it.Contract.Ended {
			if err := CheckContract(*it.Contract); err != nil {
				return nil, err
			}
		}
	}
	if err := checkSharedCredentials(next); err != nil {
		return nil, err
	}
	if !req.Force && !onlyDeclaresLost(req.Items) {
		if fail := checkCapacity(v, next); fail != nil {
			return nil, fail
		}
	}
	return next, nil
}

// onlyDeclaresLost reports whether the change only declares domains lost. Lost
// domains carry no load.
func onlyDeclaresLost(items []contract.Item) bool {
	for _, it := range items {
		if it.Domain == nil || it.Domain.State != contract.StateLost {
			return false
		}
	}
	return true
}

// resultResponse returns the response for the result of an appended record.
func (h *Handler) resultResponse(answer ChangeResponse, res journal.Result) (any, error) {
	switch res.Outcome {
	case journal.OutcomeApplied, journal.OutcomeDuplicate:
		return answer, nil
	}
	if res.Err == nil {
		return nil, &Failure{Code: CodeRefused, Message: "the record at offset " + fmt.Sprint(res.Offset) + " was " + string(res.Outcome)}
	}
	return nil, h.addConflictChanges(res.Err)
}

// addConflictChanges converts a conflict into a Failure that lists what changed.
// It returns any other error unchanged.
func (h *Handler) addConflictChanges(err error) error {
	var conflict *contract.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	fail := &Failure{Code: CodeConflict, Message: conflict.Error(), FromVersion: conflict.FromVersion, CurrentVersion: conflict.CurrentVersion}
	v, verr := h.view()
	base := h.recentConfig(conflict.FromVersion)
	if verr == nil && base != nil {
		fail.Changes, fail.ChangesComplete = Diff(base, v.State.Config), v.State.Config.Version >= conflict.CurrentVersion
		fail.CurrentVersion = max(fail.CurrentVersion, v.State.Config.Version)
	}
	return fail
}

func appendFailure(err error) *Failure {
	var outcome OutcomeUnknown
	if errors.As(err, &outcome) && !outcome.OutcomeUnknown() && !errors.Is(err, context.Canceled) {
		return &Failure{Code: CodeNotAccepted, Message: "the change was not accepted and has no effect: " + err.Error()}
	}
	return &Failure{Code: CodeUnknownOutcome, Message: "the change may still come into force; check the configuration before repeating it: " + err.Error()}
}

func toFailure(err error) *Failure {
	var fail *Failure
	if errors.As(err, &fail) {
		return fail
	}
	var invalid *contract.InvalidError
	if errors.As(err, &invalid) {
		return &Failure{Code: CodeInvalid, Message: invalid.Error(), Field: invalid.Field, Value: invalid.Value, Allowed: invalid.Allowed}
	}
	return &Failure{Code: CodeRefused, Message: err.Error()}
}

// status returns the HTTP status of a failure.
func (f *Failure) status() int {
	switch f.Code {
	case CodeInvalid:
		return http.StatusUnprocessableEntity
	case CodeConflict, CodeRefused:
		return http.StatusConflict
	case CodeUnknownOutcome:
		return http.StatusGatewayTimeout
	case CodeNotSupported:
		return http.StatusNotImplemented
	}
	return http.StatusServiceUnavailable
}

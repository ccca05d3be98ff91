package forward

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/retry"
)

// PathRequestIDs issues request identifiers.
const PathRequestIDs = "/v1/request-ids"

// maxIDsPerRequest limits the identifiers issued by one request, since a ledger
// stores a fixed number of them for all customers.
const maxIDsPerRequest = 100

// issuer issues identifiers and admits each of them once.
type issuer struct {
	retry.Issuer
	mu     sync.Mutex
	ledger *retry.Ledger
}

// issuerOf returns the issuer of this host. Its key and its ledger exist only as
// long as the process.
func (s *Server) issuerOf(self view.Self) (*issuer, *retry.Error) {
	if i := s.issuer.Load(); i != nil {
		return i, nil
	}
	base, err := retry.NewIssuer(self.Name, self.Incarnation, newIssuerKey())
	if err != nil {
		return nil, newError(retry.CodeInternal).WithOutcome(retry.NotRun).WithCause("issuer", err)
	}
	i := &issuer{Issuer: *base, ledger: retry.NewLedger(retry.LedgerConfig{})}
	if !s.issuer.CompareAndSwap(nil, i) {
		i = s.issuer.Load()
	}
	return i, nil
}

func (i *issuer) issue(customer string) retry.ID {
	i.mu.Lock()
	seq := i.ledger.Issue(boottime.Now())
	i.mu.Unlock()
	return i.ID(seq, customer)
}

func (i *issuer) begin(seq uint64) *retry.Error {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.ledger.Begin(boottime.Now(), seq).Error()
}

func (i *issuer) end(seq uint64, o retry.Outcome) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ledger.Finish(boottime.Now(), seq, o)
}

// runOnce runs a non-idempotent request under its identifier. callerID is the
// identifier that the caller sent, or empty. The identifier's outcome is stored
// when the response has arrived or the request has failed.
func (s *Server) runOnce(ctx context.Context, self view.Self, c *call, callerID string) (*answer, *retry.Error) {
	iss, e := s.issuerOf(self)
	if e != nil {
		return nil, e
	}
	var id retry.ID
	if callerID == "" {
		id = iss.issue(c.customer)
	} else {
		var err error
		if id, err = retry.ParseID(callerID); err != nil {
			c.issuerChecked = true
			return nil, newError(retry.CodeBadRequestID).WithCause("parse", err)
		}
	}
	c.id = id.String()
	switch iss.Verify(id, c.customer) {
	case retry.OriginForged:
		c.issuerChecked = true
		return nil, newError(retry.CodeBadRequestID)
	case retry.OriginOtherIncarnation:
		return nil, newError(retry.CodeIssuerGone)
	case retry.OriginOtherHost:
		return s.sendToIssuer(ctx, c, id)
	}
	c.issuerChecked = true
	if e := iss.begin(id.Sequence); e != nil {
		return nil, e
	}
	ans, e := s.run(ctx, c)
	if e != nil {
		iss.end(id.Sequence, e.Outcome)
		return nil, e
	}
	iss.end(id.Sequence, retry.Ran)
	return ans, nil
}

// exactOutcome corrects the outcome of an error that occurred before the issuer's
// ledger was checked: an earlier request with the identifier may have run, and a
// caller that receives not_run could send its work again under a new one.
func (s *Server) exactOutcome(e *retry.Error, v *view.View, customer, callerID string) *retry.Error {
	if e.Outcome != retry.NotRun {
		return e
	}
	id, err := retry.ParseID(callerID)
	if err != nil {
		return e
	}
	if v == nil || e.Code == retry.CodeUnauthenticated {
		return e.WithOutcome(retry.MayHaveRun)
	}
	iss, issuerErr := s.issuerOf(v.Self)
	if issuerErr != nil {
		return e.WithOutcome(retry.MayHaveRun)
	}
	switch iss.Verify(id, customer) {
	case retry.OriginForged:
		return e
	case retry.OriginLocal:
		if earlier := iss.begin(id.Sequence); earlier != nil {
			return e.WithOutcome(earlier.Outcome)
		}
		iss.end(id.Sequence, retry.NotRun)
		return e
	}
	return e.WithOutcome(retry.MayHaveRun)
}

// sendToIssuer forwards a request to the host that issued its identifier. Only
// that host knows the outcome of an earlier request with the identifier, so no
// failure to reach it has the outcome not_run.
func (s *Server) sendToIssuer(ctx context.Context, c *call, id retry.ID) (*answer, *retry.Error) {
	v := s.cfg.Source.View()
	p, ok := v.Peers[id.Host]
	if !ok || p.Incarnation != id.Incarnation {
		return nil, newError(retry.CodeIssuerGone)
	}
	ans, e := s.sendPeer(ctx, c, route{homeAddr: p.HTTPAddr, homeHost: p.Name}, PathForwardToIssuer)
	if e == nil {
		return ans, nil
	}
	c.issuerChecked = errors.As(e.Err, new(*peerReportedError))
	if e.Code == CodeHomeUnreachable && !c.issuerChecked {
		return nil, newError(CodeIssuerUnreachable).WithRetryAfter(retryUnavailable).WithCause("issuer", e.Err)
	}
	return nil, e
}

// issueRequest and issueResponse are the JSON bodies of PathRequestIDs.
type issueRequest struct {
	Count int `json:"count"`
}

type issueResponse struct {
	RequestIDs []string `json:"request_ids"`
	// WindowMS is how long the ledger keeps an identifier, in milliseconds.
	WindowMS int64 `json:"window_ms"`
}

// windowMS is the default window of retry.Ledger.
const windowMS = 600_000

func (s *Server) serveRequestIDs(w http.ResponseWriter, r *http.Request, v *view.View) *retry.Error {
	if r.Method != http.MethodPost {
		return newError(retry.CodeBadRequest).WithCause("method", nil)
	}
	customer, e := s.authenticate(r)
	if e != nil {
		return e
	}
	req := issueRequest{Count: 1}
	data, err := io.ReadAll(io.LimitReader(r.Body, maxErrorBytes))
	if err != nil || len(data) > 0 && json.Unmarshal(data, &req) != nil || req.Count < 1 || req.Count > maxIDsPerRequest {
		e := newError(retry.CodeBadRequest)
		e.Message = "the body is {\"count\": N} with N from 1 to " + strconv.Itoa(maxIDsPerRequest)
		return e
	}
	// Issuing identifiers counts against the contract's rate like a request.
	c := &call{customer: customer}
	if permitted := v.State.Config.Contracts[customer].Workloads; len(permitted) > 0 {
		c.workload = permitted[0]
	}
	if e := s.admit(c, 0); e != nil {
		return e
	}
	defer s.releaseAdmission(c)
	iss, e := s.issuerOf(v.Self)
	if e != nil {
		return e
	}
	reply := issueResponse{WindowMS: windowMS}
	for range req.Count {
		reply.RequestIDs = append(reply.RequestIDs, iss.issue(customer).String())
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write affects only this caller, which is gone.
	_ = json.NewEncoder(w).Encode(reply)
	return nil
}

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

// maxIDsAtOnce limits the identifiers issued by one request, since a ledger
// remembers a fixed number of them for all customers.
const maxIDsAtOnce = 100

// issuer issues identifiers and admits each of them once.
type issuer struct {
	retry.Issuer
	mu     sync.Mutex
	ledger *retry.Ledger
}

// issuerOf returns the issuer of this host. Its key lives as long as the
// process, like its ledger.
func (s *Server) issuerOf(self view.Self) (*issuer, *retry.Error) {
	if i := s.ids.Load(); i != nil {
		return i, nil
	}
	x, err := retry.NewIssuer(self.Name, self.Incarnation, newKey())
	if err != nil {
		return nil, newError(retry.CodeInternal).WithOutcome(retry.NotRun).WithCause("issuer", err)
	}
	i := &issuer{Issuer: *x, ledger: retry.NewLedger(retry.LedgerConfig{})}
	if !s.ids.CompareAndSwap(nil, i) {
		i = s.ids.Load()
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

// once runs a non-idempotent request under its identifier. given is what the
// caller sent, or empty. The identifier's outcome is stored when the answer
// has arrived or the request has failed.
func (s *Server) once(ctx context.Context, self view.Self, c *call, given string) (*answer, *retry.Error) {
	iss, e := s.issuerOf(self)
	if e != nil {
		return nil, e
	}
	var id retry.ID
	if given == "" {
		id = iss.issue(c.customer)
	} else {
		var err error
		if id, err = retry.ParseID(given); err != nil {
			c.decided = true
			return nil, newError(retry.CodeBadRequestID).WithCause("parse", err)
		}
	}
	c.id = id.String()
	switch iss.Verify(id, c.customer) {
	case retry.OriginForged:
		c.decided = true
		return nil, newError(retry.CodeBadRequestID)
	case retry.OriginOtherIncarnation:
		return nil, newError(retry.CodeIssuerGone)
	case retry.OriginOtherHost:
		return s.elsewhere(ctx, c, id)
	}
	c.decided = true
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

// exact corrects the outcome of an error that was given before the issuer's
// ledger was asked: an earlier request with the identifier may have run, and a
// caller that is told not_run could send its work again under a new one.
func (s *Server) exact(e *retry.Error, v *view.View, customer, given string) *retry.Error {
	if e.Outcome != retry.NotRun {
		return e
	}
	id, err := retry.ParseID(given)
	if err != nil {
		return e
	}
	if v == nil || e.Code == retry.CodeUnauthenticated {
		return e.WithOutcome(retry.MayHaveRun)
	}
	iss, failed := s.issuerOf(v.Self)
	if failed != nil {
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

// elsewhere passes a request to the host that issued its identifier. What
// became of an earlier request with it is known only there, so no failure on
// the way says not_run.
func (s *Server) elsewhere(ctx context.Context, c *call, id retry.ID) (*answer, *retry.Error) {
	v := s.cfg.Source.View()
	p, ok := v.Peers[id.Host]
	if !ok || p.Incarnation != id.Incarnation {
		return nil, newError(retry.CodeIssuerGone)
	}
	ans, e := s.sendPeer(ctx, c, route{home: p.HTTPAddr, homeHost: p.Name}, PathForwardToIssuer)
	if e == nil {
		return ans, nil
	}
	c.decided = errors.As(e.Err, new(*saidError))
	if e.Code == CodeHomeUnreachable && !c.decided {
		return nil, newError(CodeIssuerUnreachable).WithRetryAfter(retryUnavailable).WithCause("issuer", e.Err)
	}
	return nil, e
}

// issueRequest and issueReply are the JSON of PathRequestIDs.
type issueRequest struct {
	Count int `json:"count"`
}

type issueReply struct {
	RequestIDs []string `json:"request_ids"`
	// WindowMS is how long an identifier is remembered, in milliseconds.
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
	if err != nil || len(data) > 0 && json.Unmarshal(data, &req) != nil || req.Count < 1 || req.Count > maxIDsAtOnce {
		e := newError(retry.CodeBadRequest)
		e.Message = "the body is {\"count\": N} with N from 1 to " + strconv.Itoa(maxIDsAtOnce)
		return e
	}
	// Identifiers take from the contract's rate like requests.
	c := &call{customer: customer}
	if permitted := v.State.Config.Contracts[customer].Workloads; len(permitted) > 0 {
		c.workload = permitted[0]
	}
	if e := s.admit(c, 0); e != nil {
		return e
	}
	defer s.admitted(c)
	iss, e := s.issuerOf(v.Self)
	if e != nil {
		return e
	}
	reply := issueReply{WindowMS: windowMS}
	for range req.Count {
		reply.RequestIDs = append(reply.RequestIDs, iss.issue(customer).String())
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write concerns only the caller that is gone.
	_ = json.NewEncoder(w).Encode(reply)
	return nil
}

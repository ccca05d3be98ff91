package control

import (
	"context"
	"time"

	"github.com/boragelock/boragelock/internal/peer"
	"github.com/boragelock/boragelock/journal"
)

// Register adds the handlers of this host's peer methods to a server.
func (c *Control) Register(s *peer.Server) {
	s.Handle(methodRecords, peer.TypedHandler(c.records))
	s.Handle(methodSnapshot, peer.TypedHandler(c.snapshotParts))
	s.Handle(methodHello, peer.TypedHandler(c.hello))
	s.Handle(methodHome, peer.TypedHandler(c.homeView))
	s.Handle(methodConsent, peer.TypedHandler(c.consent))
	s.Handle(methodLogRegained, peer.TypedHandler(c.logRegained))
	s.Handle(methodLoadReport, peer.TypedHandler(c.handleLoadReport))
	s.Handle(methodStop, peer.TypedHandler(c.stopRenew))
	s.Handle(methodHostReport, peer.TypedHandler(c.hostReport))
}

// maxRecordsWait limits how long a request for records waits.
const maxRecordsWait = time.Second

func (c *Control) records(ctx context.Context, req RecordsRequest) (RecordsReply, error) {
	wait := min(time.Duration(req.WaitMS)*time.Millisecond, maxRecordsWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		ch := c.follower.changed()
		recs, ok := c.follower.recordsFrom(req.From, min(max(req.Limit, 1), maxReadRecords))
		pos := c.follower.Position()
		rep := RecordsReply{Records: recs, End: pos.Next, AgeMS: c.readAgeMS(pos), Expired: !ok}
		if len(recs) > 0 || !ok || wait <= 0 {
			return rep, nil
		}
		select {
		case <-ctx.Done():
			// The position may have advanced in the meantime.
			pos = c.follower.Position()
			rep.AgeMS = c.readAgeMS(pos)
			if pos.Next > rep.End {
				continue
			}
			return rep, nil
		case <-ch:
		}
	}
}

func (c *Control) readAgeMS(pos Position) int64 {
	if pos.ReadAsOf == 0 {
		return -1
	}
	return (c.cfg.Now() - pos.ReadAsOf).Milliseconds() + 1
}

func (c *Control) snapshotParts(_ context.Context, _ struct{}) (SnapshotReply, error) {
	parts, err := journal.EncodeSnapshot(c.cfg.Self.Name, c.follower.Snapshot())
	return SnapshotReply{Parts: parts}, err
}

func (c *Control) hello(_ context.Context, _ struct{}) (HelloReply, error) {
	pos := c.follower.Position()
	rep := HelloReply{Incarnation: c.cfg.Self.Incarnation, Next: pos.Next, LogReachable: pos.LogReachable, Stopping: c.stopping.Load()}
	st := c.state()
	if st == nil || st.Config == nil {
		return rep, nil
	}
	rep.ConfigVersion = st.Config.Version
	targets := c.targets(st)
	rep.FailingTargets = c.domains.fitness.failingTargets(targets.all)
	rep.PermitsMS = c.renewedPermits(st)
	dc := c.domains.ownCore()
	dc.mu.Lock()
	ages := dc.core.RenewalAges(c.cfg.Now())
	dc.mu.Unlock()
	if len(ages) == 0 {
		return rep, nil
	}
	for _, t := range targets.leased {
		age, ok := ages[t]
		if !ok {
			rep.NotRenewedTargets = append(rep.NotRenewedTargets, t)
			continue
		}
		rep.RenewalAgeMS = max(rep.RenewalAgeMS, age.Milliseconds()+1)
	}
	return rep, nil
}

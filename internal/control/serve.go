package control

import (
	"context"
	"time"

	"github.com/boragelock/boragelock/internal/peer"
	"github.com/boragelock/boragelock/journal"
)

// Register adds the methods that this host answers.
func (c *Control) Register(s *peer.Server) {
	s.Handle(methodRecords, peer.TypedHandler(c.records))
	s.Handle(methodSnapshot, peer.TypedHandler(c.snapshotParts))
	s.Handle(methodHello, peer.TypedHandler(c.hello))
	s.Handle(methodHome, peer.TypedHandler(c.homeView))
	s.Handle(methodConsent, peer.TypedHandler(c.consent))
	s.Handle(methodBack, peer.TypedHandler(c.back))
	s.Handle(methodHot, peer.TypedHandler(c.hotReport))
	s.Handle(methodStop, peer.TypedHandler(c.stopRenew))
	s.Handle(methodReport, peer.TypedHandler(c.report))
}

// maxRecordsWait limits how long a call for records waits.
const maxRecordsWait = time.Second

func (c *Control) records(ctx context.Context, req RecordsRequest) (RecordsReply, error) {
	wait := min(time.Duration(req.WaitMS)*time.Millisecond, maxRecordsWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		ch := c.follower.changed()
		recs, ok := c.follower.held(req.From, min(max(req.Limit, 1), readLimit))
		pos := c.follower.Position()
		rep := RecordsReply{Records: recs, End: pos.Next, AgeMS: c.readAge(pos), Expired: !ok}
		if len(recs) > 0 || !ok || wait <= 0 {
			return rep, nil
		}
		select {
		case <-ctx.Done():
			// The position may have advanced in the meantime.
			pos = c.follower.Position()
			rep.AgeMS = c.readAge(pos)
			if pos.Next > rep.End {
				continue
			}
			return rep, nil
		case <-ch:
		}
	}
}

func (c *Control) readAge(pos Position) int64 {
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
	rep.Failing = c.domains.fitness.failing(targets.all)
	rep.PermitsMS = c.permitsGiven(st)
	dc := c.domains.own()
	dc.mu.Lock()
	renewed := dc.core.RenewalAges(c.cfg.Now())
	dc.mu.Unlock()
	if len(renewed) == 0 {
		return rep, nil
	}
	for _, t := range targets.granted {
		age, ok := renewed[t]
		if !ok {
			rep.NotRenewed = append(rep.NotRenewed, t)
			continue
		}
		rep.RenewedMS = max(rep.RenewedMS, age.Milliseconds()+1)
	}
	return rep, nil
}

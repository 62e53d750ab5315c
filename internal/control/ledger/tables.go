package ledger

// This file defines the tables of instances, backend servers and their owners.

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// ChangedRows holds the rows that changed after some log index, or the whole tables.
type ChangedRows struct {
	// Index is the index of the last command applied when the rows were read.
	Index uint64
	// Whole states that these are the whole tables.
	Whole bool
	// RemovedIndex is the highest log index at which a server changed last whose row was removed; zero
	// if none was.
	RemovedIndex uint64

	Servers     []*pb.BackendServer
	Instances   []*pb.Instance
	Quarantines []*pb.Quarantine
	Evacuations []*pb.Evacuation
}

// Len returns the number of rows.
func (c ChangedRows) Len() int {
	return len(c.Servers) + len(c.Instances) + len(c.Quarantines) + len(c.Evacuations)
}

// Changes returns the rows that changed after log index since; zero returns all
// rows, and so does an index below that of a removed row: the reader may have its server as
// one that is listed. Rows are replaced rather than modified, so they may be read without a
// lock.
func (l *Ledger) Changes(since uint64) ChangedRows {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if since < l.removedIndex {
		since = 0
	}
	t := ChangedRows{
		Index:        l.applied,
		Whole:        since == 0,
		RemovedIndex: l.removedIndex,
	}
	if since > 0 && since >= l.rowsIndex {
		return t
	}
	for _, b := range l.servers {
		if b.GetChangedIndex() > since {
			t.Servers = append(t.Servers, b)
		}
	}
	for _, i := range l.instances {
		if i.GetChangedIndex() > since {
			t.Instances = append(t.Instances, i)
		}
	}
	for _, q := range l.quarantines {
		if q.GetChangedIndex() > since {
			t.Quarantines = append(t.Quarantines, q)
		}
	}
	for _, e := range l.evacuations {
		if e.GetChangedIndex() > since {
			t.Evacuations = append(t.Evacuations, e)
		}
	}
	return t
}

// Server returns the row of the named backend server, or nil.
func (l *Ledger) Server(name string) *pb.BackendServer {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.servers[name]
}

// Instance returns the row of the named instance, or nil.
func (l *Ledger) Instance(name string) *pb.Instance {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.instances[name]
}

// Routers returns the listed routers, which are the instances that are not
// marked gone, sorted by name.
func (l *Ledger) Routers() []*pb.Instance {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var out []*pb.Instance
	for _, i := range l.instances {
		if !i.GetGone() {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b *pb.Instance) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return out
}

// InstanceCount returns the number of registered instances, including those marked
// gone.
func (l *Ledger) InstanceCount() int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return len(l.instances)
}

// RouterListIndex returns the log index at which an instance was last added to or
// removed from the list of routers.
func (l *Ledger) RouterListIndex() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.routerListIndex
}

// registerInstance adds or replaces the row of an instance; one with Gone set
// removes the instance from the list of routers.
func (l *Ledger) registerInstance(index uint64, i *pb.Instance) *pb.Result {
	l.rowsIndex = index
	row := proto.Clone(i).(*pb.Instance)
	row.ChangedIndex = index
	if old := l.instances[i.GetName()]; old == nil || old.GetGone() != i.GetGone() {
		l.routerListIndex = index
	}
	l.instances[i.GetName()] = row
	return &pb.Result{}
}

// updateServers stores rows taken from the platform's server list. Owner, epoch
// and drain state are set by other commands and stay as they were. A cold period without
// an index is a new announcement.
func (l *Ledger) updateServers(index uint64, rows []*pb.BackendServer) *pb.Result {
	l.rowsIndex = index
	for _, r := range rows {
		row := proto.Clone(r).(*pb.BackendServer)
		row.Owner, row.OwnerIncarnation, row.Epoch, row.Drained = "", 0, 0, false
		if old := l.servers[r.GetName()]; old != nil {
			row.Owner, row.OwnerIncarnation, row.Epoch = old.GetOwner(), old.GetOwnerIncarnation(), old.GetEpoch()
			row.Drained = old.GetDrained()
		}
		row.ChangedIndex = index
		if row.GetColdMs() > 0 && row.GetColdIndex() == 0 {
			row.ColdIndex = index
		}
		l.servers[r.GetName()] = row
	}
	return &pb.Result{}
}

// assign sets the owners of backend servers. The log index becomes the epoch of
// the new ownership.
func (l *Ledger) assign(index uint64, assignments []*pb.Assignment) *pb.Result {
	l.rowsIndex = index
	for _, a := range assignments {
		old := l.servers[a.GetBackendServer()]
		if old == nil {
			continue
		}
		l.Checker.Check(index > old.GetEpoch(), "epochRises", "%s: epoch %d after %d", a.GetBackendServer(), index, old.GetEpoch())
		row := proto.Clone(old).(*pb.BackendServer)
		row.Owner, row.OwnerIncarnation = a.GetOwner(), a.GetOwnerIncarnation()
		row.Epoch, row.ChangedIndex = index, index
		l.servers[a.GetBackendServer()] = row
	}
	return &pb.Result{}
}

func (l *Ledger) drain(index uint64, d *pb.DrainServer) *pb.Result {
	old := l.servers[d.GetBackendServer()]
	if old == nil || old.GetGone() {
		return failure(fault.UnknownServer, d.GetBackendServer())
	}
	l.rowsIndex = index
	row := proto.Clone(old).(*pb.BackendServer)
	row.Drained, row.ChangedIndex = d.GetDrain(), index
	l.servers[d.GetBackendServer()] = row
	return &pb.Result{}
}

// placeOrder queues an order for an engine. The order's id is also its fencing
// number, and both increase with every order.
func (l *Ledger) placeOrder(o *pb.PlaceOrder) *pb.Result {
	if s := l.servers[o.GetBackendServer()]; s == nil || s.GetGone() {
		return failure(fault.UnknownServer, o.GetBackendServer())
	}
	l.lastFencingNumber++
	l.orders[l.lastFencingNumber] = &pb.EngineOrder{
		Id:            l.lastFencingNumber,
		BackendServer: o.GetBackendServer(),
		Action:        o.GetAction(),
		Argument:      o.GetArgument(),
		Reason:        o.GetReason(),
		FencingNumber: l.lastFencingNumber,
	}
	return &pb.Result{
		OrderId:       l.lastFencingNumber,
		FencingNumber: l.lastFencingNumber,
	}
}

// maxFinishedOrders bounds how many orders are kept after they have finished, so
// that operators can inspect them. Open orders are never dropped.
const maxFinishedOrders = 200

func (l *Ledger) finishOrder(f *pb.FinishOrder) *pb.Result {
	old := l.orders[f.GetOrderId()]
	if old == nil || old.GetFinished() {
		return &pb.Result{}
	}
	row := proto.Clone(old).(*pb.EngineOrder)
	row.Finished, row.Problem = true, f.GetProblem()
	l.orders[f.GetOrderId()] = row
	ids := slices.Sorted(maps.Keys(l.orders))
	for _, id := range ids[:max(0, len(ids)-maxFinishedOrders)] {
		if l.orders[id].GetFinished() {
			delete(l.orders, id)
		}
	}
	return &pb.Result{}
}

// OpenOrders returns the orders that have not finished, oldest first.
func (l *Ledger) OpenOrders() []*pb.EngineOrder {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var out []*pb.EngineOrder
	for _, id := range slices.Sorted(maps.Keys(l.orders)) {
		if o := l.orders[id]; !o.GetFinished() {
			out = append(out, o)
		}
	}
	return out
}

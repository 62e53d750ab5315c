// Package ledger implements the replicated state machine of the control group:
// rules, instances, backend servers and their owners, claims on idempotency
// keys, engine orders, quarantined parts of prompts, and evacuated failure domains.
//
// Apply is deterministic: it reads no clock, makes no random choice and parses
// no rule file, so every replica has the same state at the same log index. Each
// row of a table records the index at which it last changed, so Changes can
// return only the rows that changed after the index that a router already has.
package ledger

// This file defines Ledger and the dispatch of commands.

import (
	"maps"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/base/compress"
	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/base/invariant"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// claimKey identifies a claim. Idempotency keys are scoped by client account and
// service.
type claimKey struct {
	account, service, key string
}

// Ledger is the state machine. Apply must be called from one goroutine; readers
// may run concurrently with it. The zero Ledger is empty and ready to use.
type Ledger struct {
	// Checker records invariant violations; nil disables the checks.
	Checker *invariant.Checker

	mu                sync.RWMutex
	applied           uint64 // log index of the last applied command
	ruleVersion       uint64
	rules             []byte
	edits             []*pb.RuleEdit // past edits, oldest first
	revision          uint64         // highest revision of an applied edit; zero if none had one
	source            []byte         // source text of that revision
	servers           map[string]*pb.BackendServer
	instances         map[string]*pb.Instance
	claims            map[claimKey]*pb.Claim
	orders            map[uint64]*pb.EngineOrder
	quarantines       map[quarantineKey]*pb.Quarantine
	evacuations       map[string]*pb.Evacuation // by failure domain
	lastFencingNumber uint64
	expiredBefore     int64
	// routerListIndex is the log index at which an instance was last added to
	// or removed from the list of routers.
	routerListIndex uint64
	// rowsIndex is the log index of the last change of a row that routers receive.
	rowsIndex uint64
	// removedIndex is the highest log index at which a server changed last whose row was removed, and
	// removedMs the latest Unix millisecond at which one of them joined or was marked gone.
	removedIndex uint64
	removedMs    int64
	// removedServers counts the rows of servers that this process has removed.
	removedServers uint64
}

// Apply applies the committed command at the given log index and returns its
// result. Unknown and empty commands change nothing.
func (l *Ledger) Apply(index uint64, c *pb.Command) *pb.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Checker.Check(index > l.applied, "appliedIndexRises", "index %d applied after index %d", index, l.applied)
	l.applied = index
	l.init()
	r := l.apply(index, c)
	r.Index = index
	return r
}

func (l *Ledger) init() {
	if l.servers != nil {
		return
	}
	l.servers = make(map[string]*pb.BackendServer)
	l.instances = make(map[string]*pb.Instance)
	l.claims = make(map[claimKey]*pb.Claim)
	l.orders = make(map[uint64]*pb.EngineOrder)
	l.quarantines = make(map[quarantineKey]*pb.Quarantine)
	l.evacuations = make(map[string]*pb.Evacuation)
}

func (l *Ledger) apply(index uint64, c *pb.Command) *pb.Result {
	switch k := c.GetKind().(type) {
	case *pb.Command_EditRules:
		return l.editRules(k.EditRules)
	case *pb.Command_RegisterInstance:
		return l.registerInstance(index, k.RegisterInstance.GetInstance())
	case *pb.Command_UpdateServers:
		return l.updateServers(index, k.UpdateServers.GetServers())
	case *pb.Command_Assign:
		return l.assign(index, k.Assign.GetAssignments())
	case *pb.Command_ClaimKey:
		return l.claim(k.ClaimKey)
	case *pb.Command_SettleKey:
		return l.settle(k.SettleKey)
	case *pb.Command_DrainServer:
		return l.drain(index, k.DrainServer)
	case *pb.Command_PlaceOrder:
		return l.placeOrder(k.PlaceOrder)
	case *pb.Command_FinishOrder:
		return l.finishOrder(k.FinishOrder)
	case *pb.Command_ExpireClaims:
		return l.expireClaims(k.ExpireClaims.GetBefore())
	case *pb.Command_Quarantine:
		return l.quarantine(index, k.Quarantine)
	case *pb.Command_Evacuation:
		return l.evacuate(index, k.Evacuation)
	case *pb.Command_RemoveServers:
		return l.removeServers(k.RemoveServers)
	default:
		return &pb.Result{}
	}
}

func failure(kind fault.Kind, subject string) *pb.Result {
	return &pb.Result{
		Failure: kind,
		Subject: subject,
	}
}

// Snapshot returns the whole state. Its rows are sorted, so equal states give
// equal snapshots.
func (l *Ledger) Snapshot() *pb.LedgerState {
	l.mu.RLock()
	defer l.mu.RUnlock()
	s := &pb.LedgerState{
		AppliedIndex:        l.applied,
		RuleVersion:         l.ruleVersion,
		Rules:               l.rules,
		Edits:               slices.Clone(l.edits),
		FencingNumber:       l.lastFencingNumber,
		ClaimsExpiredBefore: l.expiredBefore,
		ListIndex:           l.routerListIndex,
		Revision:            l.revision,
		Source:              l.source,
		RemovedIndex:        l.removedIndex,
		RemovedMs:           l.removedMs,
	}
	for _, name := range slices.Sorted(maps.Keys(l.servers)) {
		s.Servers = append(s.Servers, l.servers[name])
	}
	for _, name := range slices.Sorted(maps.Keys(l.instances)) {
		s.Instances = append(s.Instances, l.instances[name])
	}
	for _, c := range l.claims {
		s.Claims = append(s.Claims, c)
	}
	slices.SortFunc(s.Claims, compareClaims)
	for _, id := range slices.Sorted(maps.Keys(l.orders)) {
		s.Orders = append(s.Orders, l.orders[id])
	}
	for _, q := range l.quarantines {
		s.Quarantines = append(s.Quarantines, q)
	}
	slices.SortFunc(s.Quarantines, compareQuarantines)
	for _, domain := range slices.Sorted(maps.Keys(l.evacuations)) {
		s.Evacuations = append(s.Evacuations, l.evacuations[domain])
	}
	return s
}

// Encode returns the state, serialized and compressed.
func (l *Ledger) Encode() ([]byte, error) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(l.Snapshot())
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "ledger", err)
	}
	return compress.Codec{}.Compress(b), nil
}

// Restore replaces the state with one that Encode returned. If data can't be
// decoded, it returns an error and changes nothing.
func (l *Ledger) Restore(data []byte) error {
	data, err := compress.Codec{}.Decompress(data)
	if err != nil {
		return fault.Wrap(fault.DamagedSnapshot, "ledger", err)
	}
	s := &pb.LedgerState{}
	if err := proto.Unmarshal(data, s); err != nil {
		return fault.Wrap(fault.DamagedSnapshot, "ledger", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Checker.Check(s.GetRuleVersion() >= l.ruleVersion, "ruleVersionRises", "snapshot holds rule version %d after rule version %d", s.GetRuleVersion(), l.ruleVersion)
	l.servers = nil
	l.init()
	l.applied, l.ruleVersion, l.rules, l.edits = s.GetAppliedIndex(), s.GetRuleVersion(), s.GetRules(), s.GetEdits()
	l.lastFencingNumber, l.expiredBefore = s.GetFencingNumber(), s.GetClaimsExpiredBefore()
	l.routerListIndex = s.GetListIndex()
	l.revision, l.source = s.GetRevision(), s.GetSource()
	l.rowsIndex = s.GetAppliedIndex()
	l.removedIndex, l.removedMs = s.GetRemovedIndex(), s.GetRemovedMs()
	for _, b := range s.GetServers() {
		l.servers[b.GetName()] = b
	}
	for _, i := range s.GetInstances() {
		l.instances[i.GetName()] = i
	}
	for _, c := range s.GetClaims() {
		l.claims[keyOf(c)] = c
	}
	for _, o := range s.GetOrders() {
		l.orders[o.GetId()] = o
	}
	for _, q := range s.GetQuarantines() {
		l.quarantines[quarantineKeyOf(q)] = q
	}
	for _, e := range s.GetEvacuations() {
		l.evacuations[e.GetFailureDomain()] = e
	}
	return nil
}

// Reset empties the state, for a replica that reloads it from disk.
func (l *Ledger) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applied, l.ruleVersion, l.rules, l.edits = 0, 0, nil, nil
	l.revision, l.source = 0, nil
	l.lastFencingNumber, l.expiredBefore = 0, 0
	l.routerListIndex, l.rowsIndex = 0, 0
	l.removedIndex, l.removedMs = 0, 0
	l.servers = nil
	l.init()
}

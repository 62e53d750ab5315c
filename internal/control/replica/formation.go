package replica

// This file defines how seeds form a new group at the first start of the system. Package formation has
// the decisions.

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/control/formation"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

const (
	// formationInterval is the time between two looks at the seeds, and joinInterval while a seed
	// has found a group, which this one is about to join.
	formationInterval = 100 * time.Millisecond
	joinInterval      = time.Second
	// seedTimeout bounds the wait for the answers of seeds, and stragglerTimeout the wait for the others
	// once more than half have answered.
	seedTimeout      = 500 * time.Millisecond
	stragglerTimeout = 150 * time.Millisecond
)

// Waiting is what the formation of a group waits for.
type Waiting struct {
	// Seed is the address of a seed.
	Seed   string
	Reason string
	// Since is the begin of the wait, by Replica.Now.
	Since time.Duration
}

// Waiting returns what the formation of a group waits for, nil if for nothing.
func (r *Replica) Waiting() *Waiting { return r.waiting.Load() }

// formCall is a request of a seed that waits for the event loop.
type formCall struct {
	request  *pb.FormRequest
	response chan *pb.FormResponse
}

func (r *Replica) isSeed() bool { return slices.Contains(r.cfg.Seeds, r.cfg.Address) }

// firstVote returns the state with which a seed begins at the first start, and nil otherwise.
func (r *Replica) firstVote() *pb.FormationState {
	if !r.cfg.FirstStart || !r.isSeed() {
		return nil
	}
	return formation.FirstStart(slices.Sorted(slices.Values(r.cfg.Seeds)))
}

// State returns the identity and state of this replica.
func (r *Replica) State() *pb.ReplicaStateResponse {
	st := r.Status()
	out := &pb.ReplicaStateResponse{
		Instance:  r.cfg.Name,
		Empty:     st.Empty,
		Restarted: !r.cfg.FirstStart,
		Identity:  r.Identity(),
		Leader:    st.Leader,
	}
	for _, m := range st.Members {
		out.Addresses = append(out.Addresses, m.GetAddress())
	}
	if len(r.cfg.Seeds) > 0 {
		// A seed of an earlier build forms a group by itself once all seeds say that they are empty.
		// It must not do so beside others that form one by their votes.
		out.Empty = false
		out.Formation = r.formationStatus(st.Formed)
	}
	return out
}

func (r *Replica) formationStatus(formed bool) *pb.FormationStatus {
	return &pb.FormationStatus{
		Formed: formed,
		Voter:  r.formation.Load().GetVoter(),
	}
}

// Form answers a request of a seed that forms a group. What it promises and accepts is durable.
func (r *Replica) Form(ctx context.Context, req *pb.FormRequest) (*pb.FormResponse, error) {
	c := &formCall{
		request:  req,
		response: make(chan *pb.FormResponse, 1),
	}
	select {
	case r.formCalls <- c:
	case <-ctx.Done():
		return nil, fault.Wrap(fault.NoQuorum, r.cfg.Name, ctx.Err())
	case <-r.done:
		return nil, fault.New(fault.NoQuorum, r.cfg.Name, "this replica has stopped")
	}
	if resp := <-c.response; resp != nil {
		return resp, nil
	}
	return nil, fault.New(fault.BrokenLog, r.cfg.Name, "the state of the formation could not be stored")
}

// handleForm answers a request in the event loop. It returns an error if the disk failed; the request
// then gets no response, as it is unknown what is on the disk.
func (r *Replica) handleForm(c *formCall) error {
	defer close(c.response)
	next, granted, err := r.vote(c.request)
	if err != nil {
		return err
	}
	if next != r.formation.Load() {
		if err := r.log.Append(&pb.WalRecord{
			Formation: next,
		}); err != nil {
			return err
		}
		r.formation.Store(next)
	}
	c.response <- &pb.FormResponse{
		Granted:  granted,
		Status:   r.formationStatus(r.node.LastIndex() > 0),
		Instance: r.cfg.Name,
		Identity: r.identity.Load(),
		State:    next,
	}
	return nil
}

// vote returns the state of the formation after a request, and whether it is granted.
func (r *Replica) vote(req *pb.FormRequest) (next *pb.FormationState, granted bool, err error) {
	next = r.formation.Load()
	if !r.isSeed() || r.node.LastIndex() > 0 {
		return next, false, nil
	}
	switch kind := req.GetKind().(type) {
	case *pb.FormRequest_Prepare:
		next, granted = formation.Prepare(next, kind.Prepare)
	case *pb.FormRequest_Accept:
		next, granted = formation.Accept(next, kind.Accept)
	case *pb.FormRequest_Chosen:
		if granted = r.isMember(kind.Chosen); granted {
			err = r.bootstrap(kind.Chosen)
		}
	}
	return next, granted, err
}

// isMember reports whether this replica, with its present disk, is one of the members.
func (r *Replica) isMember(m *pb.RaftMembers) bool {
	return slices.ContainsFunc(m.GetMembers(), func(m *pb.RaftMember) bool { return m.GetIdentity() == r.identity.Load() })
}

// startForming runs formBySeeds, and returns a function that ends it.
func (r *Replica) startForming() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { r.formBySeeds(ctx) })
	return func() {
		cancel()
		wg.Wait()
	}
}

// formBySeeds looks at the seeds at intervals, and proposes the members of a new group when it is the
// turn of this one, until a group exists.
func (r *Replica) formBySeeds(ctx context.Context) {
	var turn formation.Turn
	var seen uint64
	for !r.Status().Formed {
		state := r.formation.Load()
		seeds := slices.Sorted(slices.Values(r.cfg.Seeds))
		if state.GetVoter() {
			seeds = state.GetSeeds()
		}
		answers := ask(ctx, seeds, func(ctx context.Context, address string) (*pb.ReplicaStateResponse, error) {
			if address == r.cfg.Address {
				return r.State(), nil
			}
			return r.cfg.Transport.State(ctx, address)
		})
		pause := formationInterval
		switch seed, reason := turn.Look(r.Now(), r.cfg.Address, seeds, answers); reason {
		case "":
			r.setWaiting("", "")
			seen = r.proposeGroup(ctx, seeds, slices.Collect(maps.Keys(answers)), seen)
		case formation.GroupExists:
			r.setWaiting("", "")
			pause = joinInterval
		default:
			r.setWaiting(seed, reason)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
	r.setWaiting("", "")
}

// setWaiting publishes what the formation of a group waits for, and logs it when that changes.
func (r *Replica) setWaiting(seed, reason string) {
	if reason == "" {
		r.waiting.Store(nil)
		return
	}
	if w := r.waiting.Load(); w != nil && w.Seed == seed && w.Reason == reason {
		return
	}
	r.waiting.Store(&Waiting{
		Seed:   seed,
		Reason: reason,
		Since:  r.Now(),
	})
	r.cfg.Logger.WithField("seed", seed).WithField("reason", reason).Info("control: no group is formed yet")
}

// proposeGroup makes one attempt to have the members of a new group chosen by the seeds that answer.
// seen is the highest round that is known, and it returns it.
func (r *Replica) proposeGroup(ctx context.Context, seeds, answering []string, seen uint64) uint64 {
	p := formation.Proposal{
		Ballot: formation.NextBallot(r.formation.Load(), r.cfg.Address, seen),
		Seeds:  seeds,
	}
	prepare := &pb.FormRequest{
		Kind: &pb.FormRequest_Prepare{
			Prepare: p.Ballot,
		},
	}
	// This seed promises first, so that it makes no second proposal in the same ballot.
	own := r.form(ctx, []string{r.cfg.Address}, prepare)[r.cfg.Address]
	if !own.GetGranted() {
		return seen
	}
	p.Promised(r.cfg.Address, own)
	others := slices.DeleteFunc(answering, func(address string) bool { return address == r.cfg.Address })
	for address, resp := range r.form(ctx, others, prepare) {
		seen = max(seen, resp.GetState().GetPromised().GetRound())
		p.Promised(address, resp)
	}
	accept := p.Propose()
	if accept == nil {
		return seen
	}
	chosen := false
	for address, resp := range r.form(ctx, p.Asked(), &pb.FormRequest{
		Kind: &pb.FormRequest_Accept{
			Accept: accept,
		},
	}) {
		seen = max(seen, resp.GetState().GetPromised().GetRound())
		chosen = p.Accepted(address, resp)
	}
	if !chosen {
		return seen
	}
	r.cfg.Logger.WithField("members", formatMembers(accept.GetMembers().GetMembers())).Info("control: the members of a new group are chosen")
	r.form(ctx, r.founders(accept.GetMembers()), &pb.FormRequest{
		Kind: &pb.FormRequest_Chosen{
			Chosen: accept.GetMembers(),
		},
	})
	return seen
}

// founders returns the addresses of the members that store the first entry of a new group: this seed,
// if it is one, as others get the entry from it and do not compete to lead. It may be
// another seed that has completed the choice.
func (r *Replica) founders(m *pb.RaftMembers) []string {
	if r.isMember(m) {
		return []string{r.cfg.Address}
	}
	var out []string
	for _, member := range m.GetMembers() {
		out = append(out, member.GetAddress())
	}
	return out
}

// form sends a request to the seeds at some addresses, and returns their responses.
func (r *Replica) form(ctx context.Context, addresses []string, req *pb.FormRequest) map[string]*pb.FormResponse {
	return ask(ctx, addresses, func(ctx context.Context, address string) (*pb.FormResponse, error) {
		if address == r.cfg.Address {
			return r.Form(ctx, req)
		}
		return r.cfg.Transport.Form(ctx, address, req)
	})
}

// ask calls f for all addresses at the same time, and returns the results of those that succeed in
// time.
func ask[T any](ctx context.Context, addresses []string, f func(ctx context.Context, address string) (T, error)) map[string]T {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	var mu sync.Mutex
	results := make(map[string]T)
	var wg sync.WaitGroup
	for _, address := range addresses {
		wg.Go(func() {
			result, err := f(ctx, address)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			results[address] = result
			if len(results) == formation.Quorum(len(addresses)) {
				time.AfterFunc(stragglerTimeout, cancel)
			}
		})
	}
	wg.Wait()
	return results
}

package formation_test

// This file checks, over random orders of events, that seeds choose one group at most, and that they
// do choose one while more than half of them have a vote and are connected.

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"camphorspoke/internal/control/formation"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// disk is what a seed does not forget unless it loses its disk.
type disk struct {
	identity uint64
	state    *pb.FormationState
	// group holds the members of the group that is stored there, nil if there is none.
	group *pb.RaftMembers
}

// process is a run of a seed. Its proposal is forgotten when it ends.
type process struct {
	address  string
	disk     *disk
	proposal *formation.Proposal
	accept   *pb.FormAccept
	seen     uint64
}

// message is a request on its way, or the response to one. It may be lost, late or delivered twice.
type message struct {
	from, to string
	// sender is the process that waits for the response; one that has ended gets none.
	sender   *process
	request  *pb.FormRequest
	response *pb.FormResponse
}

// model is a number of seeds and the messages between them.
type model struct {
	seeds     []string
	processes map[string]*process
	// elsewhere holds the disks that came back at another address.
	elsewhere []*disk
	messages  []message
	disks     uint64
	chosen    []*pb.RaftMembers
}

func newModel(n int) *model {
	m := &model{
		processes: make(map[string]*process),
	}
	for i := range n {
		m.seeds = append(m.seeds, fmt.Sprint("s", i))
	}
	for _, address := range m.seeds {
		m.processes[address] = &process{
			address: address,
			disk:    m.newDisk(formation.FirstStart(m.seeds)),
		}
	}
	return m
}

func (m *model) newDisk(state *pb.FormationState) *disk {
	m.disks++
	return &disk{
		identity: m.disks,
		state:    state,
	}
}

// handle does at a seed what its event loop does with a request.
func (p *process) handle(r *pb.FormRequest) *pb.FormResponse {
	d := p.disk
	granted := d.group == nil
	switch kind := r.GetKind().(type) {
	case *pb.FormRequest_Prepare:
		if granted {
			d.state, granted = formation.Prepare(d.state, kind.Prepare)
		}
	case *pb.FormRequest_Accept:
		if granted {
			d.state, granted = formation.Accept(d.state, kind.Accept)
		}
	case *pb.FormRequest_Chosen:
		granted = granted && slices.ContainsFunc(kind.Chosen.GetMembers(), func(m *pb.RaftMember) bool { return m.GetIdentity() == d.identity })
		if granted {
			d.group = kind.Chosen
		}
	}
	return &pb.FormResponse{
		Granted:  granted,
		Instance: p.address,
		Identity: d.identity,
		State:    d.state,
	}
}

// propose begins a proposal of a seed, which promises first.
func (m *model) propose(p *process) {
	if p.disk.group != nil || !p.disk.state.GetVoter() {
		return
	}
	p.accept = nil
	p.proposal = &formation.Proposal{
		Ballot: formation.NextBallot(p.disk.state, p.address, p.seen),
		Seeds:  p.disk.state.GetSeeds(),
	}
	prepare := &pb.FormRequest{
		Kind: &pb.FormRequest_Prepare{
			Prepare: p.proposal.Ballot,
		},
	}
	if !p.handle(prepare).GetGranted() {
		p.proposal = nil
		return
	}
	m.send(p, m.seeds, prepare)
}

func (m *model) send(p *process, to []string, r *pb.FormRequest) {
	for _, address := range to {
		m.messages = append(m.messages, message{
			from:    p.address,
			to:      address,
			sender:  p,
			request: r,
		})
	}
}

// deliver delivers a message.
func (m *model) deliver(msg message) {
	if msg.response == nil {
		msg.response = m.processes[msg.to].handle(msg.request)
		m.messages = append(m.messages, msg)
		return
	}
	p := msg.sender
	if m.processes[p.address] != p || p.proposal == nil {
		return
	}
	p.seen = max(p.seen, msg.response.GetState().GetPromised().GetRound())
	switch kind := msg.request.GetKind().(type) {
	case *pb.FormRequest_Prepare:
		if p.accept == nil && proto.Equal(kind.Prepare, p.proposal.Ballot) {
			p.proposal.Promised(msg.to, msg.response)
		}
	case *pb.FormRequest_Accept:
		if kind.Accept == p.accept && p.proposal.Accepted(msg.to, msg.response) {
			m.choose(p)
		}
	}
}

// decide proposes members to the seeds that have promised.
func (m *model) decide(p *process) {
	if p.proposal == nil || p.accept != nil {
		return
	}
	if p.accept = p.proposal.Propose(); p.accept != nil {
		m.send(p, p.proposal.Asked(), &pb.FormRequest{
			Kind: &pb.FormRequest_Accept{
				Accept: p.accept,
			},
		})
	}
}

func (m *model) choose(p *process) {
	m.chosen = append(m.chosen, p.accept.GetMembers())
	var to []string
	for _, member := range p.accept.GetMembers().GetMembers() {
		to = append(to, member.GetAddress())
	}
	m.send(p, to, &pb.FormRequest{
		Kind: &pb.FormRequest_Chosen{
			Chosen: p.accept.GetMembers(),
		},
	})
	p.proposal = nil
}

// kill ends the process at an address, and starts another one on the same disk.
func (m *model) kill(address string) {
	m.processes[address] = &process{
		address: address,
		disk:    m.processes[address].disk,
	}
}

// loseDisk gives a seed an empty disk, which is not that of the first start. If kept is true, the one
// before comes back at another address.
func (m *model) loseDisk(address string, kept bool) {
	if kept {
		m.elsewhere = append(m.elsewhere, m.processes[address].disk)
	}
	m.kill(address)
	m.processes[address].disk = m.newDisk(nil)
}

// exchange delivers the messages between some seeds, until there are none or a number was delivered. All
// others stay on their way.
func (m *model) exchange(connected []string, most int) {
	for range most {
		i := slices.IndexFunc(m.messages, func(msg message) bool {
			return slices.Contains(connected, msg.from) && slices.Contains(connected, msg.to)
		})
		if i < 0 {
			return
		}
		msg := m.messages[i]
		m.messages = slices.Delete(m.messages, i, i+1)
		m.deliver(msg)
	}
}

// groups returns the groups that more than half of their members could still serve, each on the disk
// that it had.
func (m *model) groups() []*pb.RaftMembers {
	live := make(map[uint64]*disk)
	for _, p := range m.processes {
		live[p.disk.identity] = p.disk
	}
	for _, d := range m.elsewhere {
		live[d.identity] = d
	}
	var out []*pb.RaftMembers
	for _, d := range live {
		if d.group == nil || slices.ContainsFunc(out, func(g *pb.RaftMembers) bool { return proto.Equal(g, d.group) }) {
			continue
		}
		left := 0
		for _, member := range d.group.GetMembers() {
			if other := live[member.GetIdentity()]; other != nil && (other.group == nil || proto.Equal(other.group, d.group)) {
				left++
			}
		}
		if left >= formation.Quorum(len(d.group.GetMembers())) {
			out = append(out, d.group)
		}
	}
	return out
}

// TestMachineFormation: proposals of all seeds compete, messages are lost, late and delivered twice,
// seeds are killed, and lose their disks, of which some come back at another address. There
// is one group at most; as long as no disk was lost, one choice at most.
func TestMachineFormation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.SampledFrom([]int{1, 2, 3, 3, 3, 5}).Draw(t, "seeds"))
		// Any number of disks may be lost for good. Less than a quorum may come back at another address,
		// with an empty disk at the former one: of more, the other seeds cannot tell whether
		// they are lost.
		kept := rapid.Bool().Draw(t, "kept")
		losses := rapid.IntRange(0, len(m.seeds)).Draw(t, "losses")
		if kept {
			losses = min(losses, formation.Quorum(len(m.seeds))-1)
		}
		lost := 0
		address := func(t *rapid.T) string { return rapid.SampledFrom(m.seeds).Draw(t, "seed") }
		// most is large in half of the cases, so that many ballots come to their end.
		most := func(t *rapid.T) int {
			return rapid.SampledFrom([]int{100, 100, 100, 1, 2, 3}).Draw(t, "most")
		}
		connected := func(t *rapid.T, with string) []string {
			out := []string{with}
			for _, s := range m.seeds {
				if s != with && rapid.Bool().Draw(t, "connected") {
					out = append(out, s)
				}
			}
			return out
		}
		deliver := func(t *rapid.T) {
			if len(m.messages) == 0 {
				return
			}
			i := rapid.IntRange(0, len(m.messages)-1).Draw(t, "message")
			msg := m.messages[i]
			if rapid.IntRange(0, 9).Draw(t, "repeated") > 0 {
				m.messages = slices.Delete(m.messages, i, i+1)
			}
			if rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
				m.deliver(msg)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"propose": func(t *rapid.T) {
				p := m.processes[address(t)]
				m.propose(p)
				m.exchange(connected(t, p.address), most(t))
			},
			"decide": func(t *rapid.T) {
				p := m.processes[address(t)]
				m.decide(p)
				m.exchange(connected(t, p.address), most(t))
			},
			"deliver": deliver,
			"kill":    func(t *rapid.T) { m.kill(address(t)) },
			"loseDisk": func(t *rapid.T) {
				if lost < losses {
					lost++
					m.loseDisk(address(t), kept && rapid.Bool().Draw(t, "kept"))
				}
			},
			"": func(t *rapid.T) {
				require.LessOrEqual(t, len(m.groups()), 1)
				if lost > 0 {
					return
				}
				for _, c := range m.chosen {
					require.True(t, proto.Equal(c, m.chosen[0]), "two choices")
				}
			},
		})
		m.requireFormation(t)
	})
}

// requireFormation checks that connected seeds form a group, unless too few of them have a vote and not
// all are there, or a group exists already.
func (m *model) requireFormation(t *rapid.T) {
	m.messages = nil
	var voters []string
	for _, address := range m.seeds {
		p := m.processes[address]
		if p.disk.group != nil {
			return
		}
		if p.disk.state.GetVoter() {
			voters = append(voters, address)
		}
	}
	if len(voters) == 0 {
		return
	}
	p := m.processes[voters[0]]
	for range 3 {
		m.propose(p)
		m.deliverAll()
		m.decide(p)
		m.deliverAll()
	}
	require.NotEmpty(t, m.chosen, "no group is chosen")
}

func (m *model) deliverAll() {
	for len(m.messages) > 0 {
		msg := m.messages[0]
		m.messages = m.messages[1:]
		m.deliver(msg)
	}
}

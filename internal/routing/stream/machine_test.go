package stream

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

func frame(seq uint64) *pb.GenerateResponse {
	return &pb.GenerateResponse{
		RequestId: "q",
		Sequence:  seq,
	}
}

func end(count uint64) *pb.GenerateResponse {
	return &pb.GenerateResponse{
		RequestId: "q",
		End:       true,
		Count:     count,
	}
}

// TestMachineAssembler delivers a response over connections that reorder and
// repeat frames and that break. Each frame must come out once and in order, and
// the response must count as complete exactly when all frames came out.
func TestMachineAssembler(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.Uint64Range(0, 40).Draw(rt, "count")
		a := &Assembler{
			RequestID: "q",
			Window:    64,
		}
		var next uint64
		complete := false
		for links := 0; !complete && links < 5; links++ {
			var wire []*pb.GenerateResponse
			for s := a.Next; s < count; s++ {
				wire = append(wire, frame(s))
			}
			wire = append(wire, end(count))
			wire = rapid.Permutation(wire).Draw(rt, "order")
			wire = append(wire, wire[:rapid.IntRange(0, len(wire)).Draw(rt, "repeated")]...)
			breaksAfter := rapid.IntRange(0, len(wire)).Draw(rt, "breaksAfter")
			for _, f := range wire[:breaksAfter] {
				out, err := a.Accept(f)
				require.NoError(rt, err)
				for _, g := range out {
					if g.GetEnd() {
						require.False(rt, complete, "two end frames were delivered")
						complete = true
						continue
					}
					require.Equal(rt, next, g.GetSequence())
					next++
				}
			}
			require.Equal(rt, complete, a.Done())
			require.Equal(rt, complete, next == count && a.Close() == nil)
			if !complete {
				require.Equal(rt, fault.ShortAnswer, fault.KindOf(a.Close()))
				a = &Assembler{
					RequestID: "q",
					Next:      a.Next,
					Window:    64,
				}
			}
		}
	})
}

func TestAssemblerRefuses(t *testing.T) {
	for name, c := range map[string]struct {
		frames []*pb.GenerateResponse
		kind   fault.Kind
	}{
		"another request":       {frames: []*pb.GenerateResponse{{RequestId: "other"}}, kind: fault.WrongFrame},
		"beyond the end":        {frames: []*pb.GenerateResponse{end(2), frame(2)}, kind: fault.WrongFrame},
		"end below a frame":     {frames: []*pb.GenerateResponse{frame(5), end(3)}, kind: fault.WrongFrame},
		"end below delivered":   {frames: []*pb.GenerateResponse{frame(0), frame(1), end(1)}, kind: fault.WrongFrame},
		"two counts":            {frames: []*pb.GenerateResponse{end(3), end(4)}, kind: fault.WrongFrame},
		"gap beyond the window": {frames: []*pb.GenerateResponse{frame(1), frame(2), frame(3)}, kind: fault.ShortAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			a := &Assembler{
				RequestID: "q",
				Window:    2,
			}
			var err error
			for _, f := range c.frames {
				if _, err = a.Accept(f); err != nil {
					break
				}
			}
			require.Equal(t, c.kind, fault.KindOf(err))
		})
	}
}

// Package stream puts the frames of an answer back together.
//
// Frames carry the request and a sequence number; the end frame carries the
// count. An Assembler delivers each frame once and in order. A frame of
// another request, a gap that outgrows the window, or an end before the count
// is a typed error: a short answer never passes for a whole one.
package stream

// This file defines Assembler.

import (
	"fmt"

	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/world/fault"
)

// DefaultWindow is how many frames may wait for an earlier one.
const DefaultWindow = 256

// Assembler reassembles one answer. Set RequestID, and Next on a resume.
type Assembler struct {
	RequestID string
	// Next is the sequence number to deliver next.
	Next uint64
	// Window is the most frames held back; zero is DefaultWindow.
	Window int

	held  map[uint64]*pb.GenerateResponse
	count uint64
	ended bool
	end   *pb.GenerateResponse
}

// Done reports whether the whole answer was delivered.
func (a *Assembler) Done() bool { return a.ended && a.Next == a.count && a.end == nil }

// Accept takes a frame and returns those that may be delivered now.
func (a *Assembler) Accept(f *pb.GenerateResponse) ([]*pb.GenerateResponse, error) {
	if f.GetRequestId() != a.RequestID {
		return nil, fault.New(fault.WrongFrame, a.RequestID, fmt.Sprintf("a frame of request %q arrived", f.GetRequestId()))
	}
	if f.GetEnd() {
		if err := a.acceptEnd(f); err != nil {
			return nil, err
		}
		return a.release(), nil
	}
	if a.ended && f.GetSequence() >= a.count {
		return nil, fault.New(fault.WrongFrame, a.RequestID, "a frame stands after the end of the answer")
	}
	if f.GetSequence() < a.Next {
		return nil, nil
	}
	if a.held == nil {
		a.held = make(map[uint64]*pb.GenerateResponse)
	}
	a.held[f.GetSequence()] = f
	out := a.release()
	window := a.Window
	if window == 0 {
		window = DefaultWindow
	}
	if len(a.held) > window {
		return nil, fault.New(fault.ShortAnswer, a.RequestID, fmt.Sprintf("frame %d is missing and %d wait for it", a.Next, len(a.held)))
	}
	return out, nil
}

func (a *Assembler) acceptEnd(f *pb.GenerateResponse) error {
	if a.ended {
		if f.GetCount() != a.count {
			return fault.New(fault.WrongFrame, a.RequestID, "two ends with different counts")
		}
		return nil
	}
	if f.GetCount() < a.Next {
		return fault.New(fault.WrongFrame, a.RequestID, "the count is below the frames delivered")
	}
	for s := range a.held {
		if s >= f.GetCount() {
			return fault.New(fault.WrongFrame, a.RequestID, "the count is below a frame received")
		}
	}
	a.ended, a.count, a.end = true, f.GetCount(), f
	return nil
}

// release returns the frames that are next in order.
func (a *Assembler) release() []*pb.GenerateResponse {
	var out []*pb.GenerateResponse
	for {
		f, ok := a.held[a.Next]
		if !ok {
			break
		}
		delete(a.held, a.Next)
		a.Next++
		out = append(out, f)
	}
	if a.ended && a.Next == a.count && a.end != nil {
		out = append(out, a.end)
		a.end = nil
	}
	return out
}

// Close returns a ShortAnswer fault unless the answer is whole.
func (a *Assembler) Close() error {
	if a.Done() {
		return nil
	}
	return fault.New(fault.ShortAnswer, a.RequestID,
		fmt.Sprintf("the answer broke off before frame %d; resume from there with the same request id", a.Next))
}

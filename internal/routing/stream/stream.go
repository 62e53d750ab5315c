// Package stream reassembles the frames of a streamed response.
//
// Each frame has the request id and a sequence number; the end frame has the
// total count. An Assembler delivers each frame once and in order. A frame of
// another request, a gap larger than the window, or a stream that ends before
// the count is reached is a typed error, so that a truncated response is never
// taken for a complete one.
package stream

// This file defines Assembler.

import (
	"fmt"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// DefaultWindow is the default maximum of frames buffered out of order.
const DefaultWindow = 256

// Assembler reassembles one response. Set RequestID, and set Next when the
// stream is resumed.
type Assembler struct {
	RequestID string
	// Next is the sequence number of the next frame to deliver.
	Next uint64
	// Window is the maximum number of frames buffered because an earlier one is
	// missing; zero means DefaultWindow.
	Window int

	// buffered holds the frames that wait for an earlier one, by sequence
	// number.
	buffered map[uint64]*pb.GenerateResponse
	count    uint64
	ended    bool
	// endFrame is the end frame from its arrival until it is delivered.
	endFrame *pb.GenerateResponse
}

// Done reports whether the complete response was delivered, including its end
// frame.
func (a *Assembler) Done() bool { return a.ended && a.Next == a.count && a.endFrame == nil }

// Accept adds a frame and returns the frames that can be delivered now, in
// order. A repeated frame is ignored.
func (a *Assembler) Accept(f *pb.GenerateResponse) ([]*pb.GenerateResponse, error) {
	if f.GetRequestId() != a.RequestID {
		return nil, fault.New(fault.WrongFrame, a.RequestID, fmt.Sprintf("received a frame of request %q", f.GetRequestId()))
	}
	if f.GetEnd() {
		if err := a.acceptEnd(f); err != nil {
			return nil, err
		}
		return a.release(), nil
	}
	if a.ended && f.GetSequence() >= a.count {
		return nil, fault.New(fault.WrongFrame, a.RequestID, "received a frame past the end of the response")
	}
	if f.GetSequence() < a.Next {
		return nil, nil
	}
	if a.buffered == nil {
		a.buffered = make(map[uint64]*pb.GenerateResponse)
	}
	a.buffered[f.GetSequence()] = f
	out := a.release()
	window := a.Window
	if window == 0 {
		window = DefaultWindow
	}
	if len(a.buffered) > window {
		return nil, fault.New(fault.ShortAnswer, a.RequestID, fmt.Sprintf("frame %d is missing and %d later frames are buffered", a.Next, len(a.buffered)))
	}
	return out, nil
}

func (a *Assembler) acceptEnd(f *pb.GenerateResponse) error {
	if a.ended {
		if f.GetCount() != a.count {
			return fault.New(fault.WrongFrame, a.RequestID, "received two end frames with different counts")
		}
		return nil
	}
	if f.GetCount() < a.Next {
		return fault.New(fault.WrongFrame, a.RequestID, "count of the end frame is below the number of frames delivered")
	}
	for s := range a.buffered {
		if s >= f.GetCount() {
			return fault.New(fault.WrongFrame, a.RequestID, "count of the end frame does not cover a frame already received")
		}
	}
	a.ended, a.count, a.endFrame = true, f.GetCount(), f
	return nil
}

// release removes the frames that are next in order from the buffer and returns
// them, followed by the end frame if they complete the response.
func (a *Assembler) release() []*pb.GenerateResponse {
	var out []*pb.GenerateResponse
	for {
		f, ok := a.buffered[a.Next]
		if !ok {
			break
		}
		delete(a.buffered, a.Next)
		a.Next++
		out = append(out, f)
	}
	if a.ended && a.Next == a.count && a.endFrame != nil {
		out = append(out, a.endFrame)
		a.endFrame = nil
	}
	return out
}

// Close returns a ShortAnswer fault unless the complete response was delivered.
func (a *Assembler) Close() error {
	if a.Done() {
		return nil
	}
	return fault.New(fault.ShortAnswer, a.RequestID,
		fmt.Sprintf("response ended before frame %d; resume from that frame with the same request id", a.Next))
}

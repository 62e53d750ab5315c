package manager

// This file defines how often the platform's list is read.

import "time"

const (
	listInterval = 300 * time.Millisecond
	// billedListInterval and quietListInterval replace listInterval where each read
	// of the list is billed. Servers leave and join in series, so the list is read
	// more often for quietAfter from each change. Both leave enough of the time in
	// which a leaving server must get no more requests to notify every instance.
	billedListInterval = 500 * time.Millisecond
	quietListInterval  = time.Second
	quietAfter         = 6 * time.Second
)

// listPace chooses the time between two reads of the platform's list.
type listPace struct {
	// billed is true where each read is billed.
	billed bool

	changedAt time.Duration
}

// changed records that the list changed at now, or that more changes are likely.
func (p *listPace) changed(now time.Duration) { p.changedAt = now }

// interval returns the time from now to the next read.
func (p *listPace) interval(now time.Duration) time.Duration {
	switch {
	case !p.billed:
		return listInterval
	case now-p.changedAt < quietAfter:
		return billedListInterval
	default:
		return quietListInterval
	}
}

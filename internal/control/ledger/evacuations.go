package ledger

// This file defines the table of evacuated failure domains.

import (
	"google.golang.org/protobuf/proto"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
)

// evacuate starts or ends the evacuation of a failure domain. A command that asks for
// the state that the row has changes nothing, so operators may repeat their calls. The
// row of an evacuation that has ended stays, so that routers receive its end.
func (l *Ledger) evacuate(index uint64, e *pb.Evacuation) *pb.Result {
	domain := e.GetFailureDomain()
	if !l.knowsDomain(domain) {
		return failure(fault.UnknownFailureDomain, domain)
	}
	if l.evacuations[domain].GetActive() == e.GetActive() {
		return &pb.Result{}
	}
	row := proto.Clone(e).(*pb.Evacuation)
	row.ChangedIndex = index
	l.rowsIndex = index
	l.evacuations[domain] = row
	return &pb.Result{}
}

// knowsDomain reports whether a row names a failure domain: that of an instance or a
// backend server, also if it is gone, or of an evacuation, which can be ended after its
// servers have moved. Only named domains get rows, so the table needs no bound.
func (l *Ledger) knowsDomain(domain string) bool {
	if domain == "" {
		return false
	}
	if l.evacuations[domain] != nil {
		return true
	}
	for _, s := range l.servers {
		if s.GetFailureDomain() == domain {
			return true
		}
	}
	for _, i := range l.instances {
		if i.GetFailureDomain() == domain {
			return true
		}
	}
	return false
}

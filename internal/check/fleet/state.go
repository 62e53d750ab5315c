package fleet

// This file defines State, the decoded part of a daemon's dump.

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"camphorspoke/internal/base/fault"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/gen/camphorspoke/v1/camphorspokev1connect"
)

// State is the part of a daemon's dump that tests, measurements and the demo
// read.
type State struct {
	UptimeMs int64 `json:"uptimeMs"`
	Member   struct {
		Instance    string `json:"instance"`
		RuleVersion uint64 `json:"ruleVersion"`
		RulesFresh  bool   `json:"rulesFresh"`
		LeaseLeftMs int64  `json:"leaseLeftMs"`
	} `json:"member"`
	Router struct {
		InFlight       int `json:"inFlight"`
		BackendServers []struct {
			Name string `json:"backendServer"`
			Load int    `json:"load"`
		} `json:"backendServers"`
	} `json:"router"`
	Replica *struct {
		Role      string `json:"role"`
		Leader    string `json:"leader"`
		Term      uint64 `json:"term"`
		Commit    uint64 `json:"commit"`
		LastIndex uint64 `json:"lastIndex"`
		Members   []struct {
			Name    string `json:"name"`
			Learner bool   `json:"learner"`
		} `json:"members"`
	} `json:"replica"`
	BackendServers []struct {
		Name    string `json:"name"`
		Service string `json:"service"`
		Owner   string `json:"owner"`
		Gone    bool   `json:"gone"`
		Drained bool   `json:"drained"`
	} `json:"backendServers"`
	Instances []struct {
		Name string `json:"name"`
	} `json:"instances"`
	ControlBytes map[string]uint64 `json:"controlBytes"`
	Violations   map[string]uint64 `json:"violations"`
}

// NewOperatorClient returns a client of the operator service of a daemon.
func NewOperatorClient(address string) camphorspokev1connect.OperatorServiceClient {
	return camphorspokev1connect.NewOperatorServiceClient(&http.Client{
		Timeout: 8 * time.Second,
	}, "http://"+address)
}

// ReadDump requests the dump of a daemon and decodes it.
func ReadDump(address string) (*State, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	r, err := NewOperatorClient(address).Dump(ctx, connect.NewRequest(&pb.DumpRequest{}))
	if err != nil {
		return nil, err
	}
	s := &State{}
	if err := json.Unmarshal(r.Msg.GetJson(), s); err != nil {
		return nil, fault.Wrap(fault.Internal, address, err)
	}
	return s, nil
}

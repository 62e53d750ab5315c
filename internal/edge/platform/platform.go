// Package platform reads the platform's list of backend servers over Connect.
package platform

// This file defines Client.

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"camphorspoke/internal/base/fault"
	"camphorspoke/internal/edge"
	pb "camphorspoke/internal/gen/camphorspoke/v1"
	"camphorspoke/internal/gen/camphorspoke/v1/camphorspokev1connect"
)

// maxListBytes is the largest list that is read, in bytes.
const maxListBytes = 16 << 20

// Client reads the list from the PlatformService at BaseURL.
type Client struct {
	BaseURL string
	// HTTP sends the calls; if nil, http.DefaultClient is used.
	HTTP connect.HTTPClient
}

var _ edge.Platform = Client{}

// List returns the servers currently listed.
func (c Client) List(ctx context.Context) ([]*pb.ListedServer, error) {
	hc := c.HTTP
	if hc == nil {
		hc = http.DefaultClient
	}
	r, err := camphorspokev1connect.NewPlatformServiceClient(hc, c.BaseURL, connect.WithReadMaxBytes(maxListBytes)).List(ctx, connect.NewRequest(&pb.ListRequest{}))
	if err != nil {
		return nil, fault.Wrap(fault.PlatformList, c.BaseURL, err)
	}
	return r.Msg.GetServers(), nil
}

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

// Client reads the list from the PlatformService at BaseURL.
type Client struct {
	BaseURL string
}

var _ edge.Platform = Client{}

// List returns the servers currently listed.
func (c Client) List(ctx context.Context) ([]*pb.ListedServer, error) {
	r, err := camphorspokev1connect.NewPlatformServiceClient(http.DefaultClient, c.BaseURL).List(ctx, connect.NewRequest(&pb.ListRequest{}))
	if err != nil {
		return nil, fault.Wrap(fault.PlatformList, c.BaseURL, err)
	}
	return r.Msg.GetServers(), nil
}

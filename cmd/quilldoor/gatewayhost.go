package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"quilldoor/internal/gateway"
	"quilldoor/internal/gateway/peerpolicy"
	"quilldoor/internal/gateway/peerproto"
	"quilldoor/internal/operatorconfig"
)

// gatewayHost is the router as the gateway uses it. It implements gateway.Host.
type gatewayHost struct{ *router }

// Execute runs a peer's request and returns its result.
func (h *gatewayHost) Execute(cancelled <-chan struct{}, request *gateway.Request) gateway.Reply {
	return h.downstream.ServeForwarded(cancelled, request)
}

// Purge applies a purge received from a peer. It is not sent to other peers, since each site
// announces the purges of its own discovery.
func (h *gatewayHost) Purge(object string, group, at int64) { h.purgeCopies(object, group, at) }

// Purges returns the purges that cover a request: the latest of its object and the latest of
// its group.
func (h *gatewayHost) Purges(object string, group int64) (list []peerproto.Purge) {
	objectPurgedAt, groupPurgedAt := h.purges.latest(object, group)
	if objectPurgedAt > 0 {
		list = append(list, peerproto.Purge{At: objectPurgedAt})
	}
	if groupPurgedAt > 0 {
		list = append(list, peerproto.Purge{Group: true, At: groupPurgedAt})
	}
	return list
}

// openGateway starts the gateway as configured in the operator's file.
func (r *router) openGateway(file *operatorconfig.Gateway) error {
	keys := &gateway.Keys{Cert: file.CertFile, Key: file.KeyFile, CA: file.CAFile}
	if err := keys.Load(); err != nil {
		return err
	}
	listener, err := r.listenOrInherit(socketGateway, file.Listen)
	if err != nil {
		return fmt.Errorf("gateway.listen: %w", err)
	}
	r.gatewayHost = &gatewayHost{r}
	r.gatewayKeys = keys
	r.gateway = gateway.Start(r.gatewayConfig(file, keys), listener, r.gatewayHost, r.buffers, r.log)
	r.downstream.SetGateway(r.gateway)
	return nil
}

func (r *router) gatewayConfig(file *operatorconfig.Gateway, keys *gateway.Keys) gateway.Config {
	config := gateway.Config{
		Keys:           keys,
		MaxUploadBytes: r.limits.MaxRequestBody,
		MaxAnswerBytes: r.limits.MaxResponseBody,
		MaxRequestTime: r.limits.MaxRequestTimeout,
		Seed:           r.config.Seed,
		Settings: peerpolicy.Settings{
			Name:              file.Name,
			Site:              file.Site,
			MaxRequests:       file.MaxRequests,
			LocalReserve:      file.LocalReserve,
			HeartbeatInterval: int64(file.HeartbeatMS) * microsPerMilli,
		},
	}
	for _, peer := range file.Peers {
		config.Peers = append(config.Peers, gateway.Peer(peer))
	}
	return config
}

const gatewayStatusInterval = time.Second

// writeGatewayStatus writes the gateway's status to a file at intervals.
func (r *router) writeGatewayStatus(ctx context.Context, g *gateway.Gateway, path string) {
	r.writePeriodically(ctx, gatewayStatusInterval, "gateway: status file not written", func() error {
		status := g.Status()
		status.WrittenAtMS = time.Now().UnixMilli()
		text, err := json.MarshalIndent(status, "", " ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(path+newFileSuffix, append(text, '\n'), 0o644); err != nil {
			return err
		}
		return os.Rename(path+newFileSuffix, path)
	})
}

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"quilldoor/internal/gateway"
	"quilldoor/internal/gateway/peerpolicy"
	"quilldoor/internal/gateway/peerproto"
	"quilldoor/internal/operatorconfig"
)

// host is what the gateway needs of the router.
type host struct {
	*router
	purges purgeBook
}

// purgeBook remembers purges that caches may not have done yet, for peers that
// may not have heard of them.
type purgeBook struct {
	mu   sync.Mutex
	done int64 // microseconds after which they bind no more
	list []purged
}

type purged struct {
	object string
	group  int64
	at     int64
}

// mostPurges remembered; beyond, the oldest are forgotten: peers have them from
// their own boards.
const mostPurges = 4096

func (b *purgeBook) add(object string, group, at int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock()
	for len(b.list) > 0 && (b.list[0].at < now-b.done || len(b.list) >= mostPurges) {
		b.list = b.list[1:]
	}
	b.list = append(b.list, purged{object, group, at})
}

// known are all that still bind.
func (b *purgeBook) known() []purged {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.list)
}

// Purges are those that bind a txn, the youngest of its object and of its group.
func (h *host) Purges(object string, group int64) (out []peerproto.Purge) {
	h.purges.mu.Lock()
	defer h.purges.mu.Unlock()
	var ofObject, ofGroup int64
	for _, p := range h.purges.list {
		switch {
		case p.object != "" && p.object == object:
			ofObject = max(ofObject, p.at)
		case p.object == "" && p.group == group:
			ofGroup = max(ofGroup, p.at)
		}
	}
	if ofObject > 0 {
		out = append(out, peerproto.Purge{At: ofObject})
	}
	if ofGroup > 0 {
		out = append(out, peerproto.Purge{Group: true, At: ofGroup})
	}
	return out
}

// Execute runs a peer's txn.
func (h *host) Execute(left <-chan struct{}, q *gateway.Request) gateway.Reply {
	return h.front.ServeForwarded(left, q)
}

// Purge takes one that a peer knows. It does not go on to others: each carries
// what it has heard itself.
func (h *host) Purge(object string, group, at int64) { h.purge(object, group, at) }

// openGateway starts the gateway as the operator's file has it.
func (r *router) openGateway(o *operatorconfig.Gateway) error {
	c := r.setup
	keys := &gateway.Keys{Cert: o.CertFile, Key: o.KeyFile, CA: o.CAFile}
	if err := keys.Load(); err != nil {
		return err
	}
	var l net.Listener
	var err error
	if r.kept == nil {
		l, err = net.Listen("tcp", o.Listen)
	} else {
		l, err = r.kept.Listener("gateway")
	}
	if err != nil {
		return fmt.Errorf("gateway.listen: %w", err)
	}
	set := &r.set
	r.host = &host{router: r, purges: purgeBook{done: set.Hierarchy.PurgeSettleTime + c.Limits.MaxRequestTimeout.Microseconds()}}
	config := gateway.Config{
		Keys: keys, MaxUploadBytes: c.Limits.MaxRequestBody, MaxAnswerBytes: c.Limits.MaxResponseBody, MaxRequestTime: c.Limits.MaxRequestTimeout, Seed: c.Seed,
		Settings: peerpolicy.Settings{Name: o.Name, Site: o.Site, MaxRequests: o.MaxRequests, LocalReserve: o.LocalReserve, HeartbeatInterval: int64(o.HeartbeatMS) * 1000},
	}
	for _, p := range o.Peers {
		config.Peers = append(config.Peers, gateway.Peer(p))
	}
	r.keys, r.gate = keys, gateway.Start(config, l, r.host, r.bodies, r.log)
	r.front.SetGateway(r.gate)
	return nil
}

// tellStatus writes the gateway's status to a file every second.
func (r *router) tellStatus(ctx context.Context, gate *gateway.Gateway, path string) {
	every := time.NewTicker(time.Second)
	defer every.Stop()
	for failed := false; ; {
		s := gate.Status()
		s.WrittenAtMS = time.Now().UnixMilli()
		text, err := json.MarshalIndent(s, "", " ")
		if err == nil {
			err = os.WriteFile(path+".new", append(text, '\n'), 0o644)
		}
		if err == nil {
			err = os.Rename(path+".new", path)
		}
		if err != nil && !failed {
			r.log.WithError(err).Error("gateway: status not written")
		}
		failed = err != nil
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
	}
}

func gatewayCommand(f *flags) *cobra.Command {
	c := &cobra.Command{Use: "gateway", Short: "Look into a running router's gateway"}
	var file string
	status := &cobra.Command{Use: "status", Short: "Tell the peers, their state and room, and what is out", Args: cobra.NoArgs}
	status.Flags().StringVar(&file, "file", "", "status file; else gateway.status_file of the operator's file")
	status.RunE = func(*cobra.Command, []string) error {
		if file == "" {
			own, err := operatorconfig.Load(f.operator, os.Getenv)
			if err != nil {
				return err
			}
			if own.Gateway == nil || own.Gateway.StatusFile == "" {
				return fmt.Errorf("gateway.status_file: not set; name the file by --file")
			}
			file = own.Gateway.StatusFile
		}
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		var s gateway.Status
		if err := json.Unmarshal(text, &s); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		defer w.Flush()
		fmt.Fprintf(w, "%s of %s, %.1f s ago: %d txns across, %d of peers here, room for %d more; taken %d, turned away %d\n", s.Name, s.Site,
			time.Since(time.UnixMilli(s.WrittenAtMS)).Seconds(), s.ForwardedInFlight, s.InboundInFlight, s.OfferedCapacity, s.Taken, s.Rejected)
		fmt.Fprintln(w, "peer\tsite\tstate\troom\tout\tlimit\thanded over\tcompleted\trefused\taborted\tcut\tstale\tin due")
		for _, p := range s.Peers {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", p.Name, p.Site, p.State, p.Capacity, p.InFlight, p.Limit,
				p.Forwarded, p.Completed, p.Rejected, p.Aborted, p.ConnectionLost, p.Stale, p.Late)
		}
		return nil
	}
	c.AddCommand(status)
	return c
}

func keysCommand() *cobra.Command {
	var dir string
	var lasts time.Duration
	c := &cobra.Command{Use: "keys NAME...", Short: "Make an authority and a pair of keys for each name, for trials", Args: cobra.MinimumNArgs(1)}
	c.Flags().StringVar(&dir, "out", ".", "folder for ca.pem, NAME.pem and NAME.key")
	c.Flags().DurationVar(&lasts, "lasts", 30*24*time.Hour, "how long they are good")
	c.RunE = func(_ *cobra.Command, names []string) error { return gateway.MakeKeys(dir, names, lasts) }
	return c
}

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"quilldoor/internal/gossip"
	"quilldoor/internal/membership"
	"quilldoor/internal/membership/transport"
	"quilldoor/internal/operatorconfig"
)

// errPeers keeps members off where the platform does not permit it.
var errPeers = errors.New("members: the settings forbid talk among routers (settings.Limits.PeerMessages)")

// openMembers starts to look for the other routers as the operator's file has it.
func (r *router) openMembers(o *operatorconfig.Membership, b *membership.HandoffState) error {
	c := r.setup
	key, err := transport.ReadKey(o.KeyFile)
	if err != nil {
		return err
	}
	set := membership.Settings{Name: o.Name, Zone: o.Zone, GossipBytesPerSecond: o.BytesPerSecond, Handoff: b}
	if r.kept != nil {
		set.Process = &membership.ProcessInfo{Generation: uint32(r.kept.Number), Program: programDigest(), Settings: uint32(c.digest)}
	}
	if set.Zone == "" {
		set.Zone = c.Settings.Zone
	}
	for _, p := range o.Peers {
		set.Seeds = append(set.Seeds, membership.Seed{Name: p.Name, Addr: netip.MustParseAddrPort(p.Addr)})
	}
	r.peers = &peers{
		router: r, book: gossip.New(gossip.Settings{PurgeRetention: r.set.Hierarchy.PurgeSettleTime + c.Limits.MaxRequestTimeout.Microseconds()}),
		start: time.Now(),
	}
	listen := netip.MustParseAddrPort(o.Listen)
	if r.kept != nil {
		conn, err := r.kept.PacketConn("members")
		if err != nil {
			return err
		}
		r.members = transport.StartOn(conn, set, key, listen, r.peers, r.log)
		return nil
	}
	// The life before may have spent its share of cold servers' budgets until now.
	r.core.HoldSlowStart(clock(), clock()+r.set.Contract.OverloadWindow)
	r.members, err = transport.Start(set, key, listen, r.peers, r.log)
	return err
}

func membersCommand(f *flags) *cobra.Command {
	var matrix, asJSON bool
	c := &cobra.Command{
		Use: "members", Short: "Tell which routers are there, how sure and how old that is", Args: cobra.NoArgs,
		Long: "Asks the router of the operator's file, by its members.listen address and key. --matrix asks all that it\n" +
			"knows, and shows who sees whom and where they disagree. Exit code 1: no answer.",
	}
	c.Flags().BoolVar(&matrix, "matrix", false, "ask all, show who sees whom")
	c.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	c.RunE = func(*cobra.Command, []string) error {
		own, err := operatorconfig.Load(f.operator, os.Getenv)
		if err != nil {
			return err
		}
		if own.Membership == nil {
			return errors.New("members: not in the operator's file")
		}
		key, err := transport.ReadKey(own.Membership.KeyFile)
		if err != nil {
			return err
		}
		v, err := transport.Query(key, own.Membership.Name, netip.MustParseAddrPort(own.Membership.Listen))
		if err != nil {
			return err
		}
		var m *transport.Matrix
		if matrix {
			m = transport.QueryAll(key, v)
		}
		if asJSON {
			enc := json.NewEncoder(os.Stdout)
			enc.SetIndent("", " ")
			if m != nil {
				return enc.Encode(m)
			}
			return enc.Encode(v)
		}
		if m != nil {
			printMatrix(m)
		} else {
			printView(v)
		}
		return nil
	}
	return c
}

func printView(v *membership.View) {
	s := v.Connectivity
	part := "the greater part"
	if !s.Majority {
		part = "CUT OFF, OR THE SMALLER PART"
	}
	fmt.Printf("%s of %s (life %d, incarnation %d) is %v: %d of %d routers reachable, %s for %s; %d of its last %d questions answered\n",
		v.Self.Name, v.Self.Zone, v.Self.ID.Epoch, v.Self.Incarnation, s.State, s.Reachable, s.Known, part, ago(s.MajorityAge), s.ProbesAnswered, s.ProbesSent)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "router\toffice\tstate\tfor\tsure by\tlast heard\twitnesses\tanswers in\tlife\taddress")
	for _, x := range v.Members {
		heard := "never"
		if x.LastHeardAge >= 0 {
			heard = ago(x.LastHeardAge) + " ago"
		}
		fmt.Fprintf(w, "%s\t%s\t%v\t%s\t%v\t%s\t%d\t%.1f ms\t%d\t%v\n", x.Name, x.Zone, x.State, ago(x.StateAge), x.Reach, heard, x.Confirmations,
			float64(x.RTT)/1000, x.ID.Epoch, x.Addr)
	}
}

// ago words microseconds.
func ago(us int64) string {
	if us < 10_000_000 {
		return fmt.Sprintf("%.1f s", float64(us)/1e6)
	}
	return fmt.Sprintf("%d s", us/1_000_000)
}

// printMatrix draws a row for each router that answered: what it holds of each.
func printMatrix(m *transport.Matrix) {
	letters := map[membership.State]string{
		membership.StateUnknown: " ", membership.StateJoining: "j", membership.StateAlive: "A", membership.StateSuspect: "s", membership.StateDead: "D",
		membership.StateLeaving: "l", membership.StateLeft: "L", membership.StateNameConflict: "2",
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)
	fmt.Fprintln(w, "\t"+strings.Join(m.Names, "\t"))
	for _, by := range m.Names {
		line := by
		for _, of := range m.Names {
			s, ok := m.Status(of, by)
			switch mark := letters[s.State]; {
			case !ok:
				line += "\t?"
			case s.State == membership.StateAlive && s.Reach == membership.ReachRelayed:
				line += "\ta"
			default:
				line += "\t" + mark
			}
		}
		fmt.Fprintln(w, line)
	}
	w.Flush()
	fmt.Println("a row is what a router holds of each: A alive, a alive through others only, s suspected, D dead, l leaving, L left,\n" +
		"j joining, 2 its name is doubled, ? it did not answer")
	if d := m.Disagreements(); len(d) > 0 {
		fmt.Println("they disagree on", strings.Join(d, ", "))
	} else {
		fmt.Println("all that answered agree")
	}
}

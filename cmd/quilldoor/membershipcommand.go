package main

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"quilldoor/internal/membership"
	"quilldoor/internal/membership/transport"
	"quilldoor/internal/operatorconfig"
)

var errNoMembership = errors.New("the operator's file has no section 'members'")

// membersCommand returns the command 'members', which queries running routers for their views
// of the membership.
func membersCommand(f *flags) *cobra.Command {
	var matrix, asJSON bool
	c := &cobra.Command{
		Use: "members", Short: "Show the routers of the site as a running router sees them", Args: cobra.NoArgs,
		Long: "Queries the router of the operator's file at its members.listen address, with its key. --matrix queries all\n" +
			"routers that it knows, and shows how each sees the others and where they disagree. Exit code 1: no answer.",
	}
	c.Flags().BoolVar(&matrix, "matrix", false, "query all routers, and show how each sees the others")
	c.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	c.RunE = func(*cobra.Command, []string) error {
		key, view, err := queryMembership(f)
		switch {
		case err != nil:
			return err
		case matrix:
			return showMatrix(transport.QueryAll(key, view), asJSON)
		case asJSON:
			return printJSON(view)
		}
		printMembership(view)
		return nil
	}
	return c
}

func queryMembership(f *flags) (key []byte, view *membership.View, err error) {
	operator, err := operatorconfig.Load(f.operatorFile, os.Getenv)
	if err != nil {
		return nil, nil, err
	}
	members := operator.Membership
	if members == nil {
		return nil, nil, errNoMembership
	}
	if key, err = transport.ReadKey(members.KeyFile); err != nil {
		return nil, nil, err
	}
	view, err = transport.Query(key, members.Name, netip.MustParseAddrPort(members.Listen))
	return key, view, err
}

func showMatrix(matrix *transport.Matrix, asJSON bool) error {
	if asJSON {
		return printJSON(matrix)
	}
	printMatrix(matrix)
	return nil
}

// printMembership prints the state of the queried router, and a line for each other member
// that it knows.
func printMembership(view *membership.View) {
	printSelf(view)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "router\toffice\tstate\tfor\tknown by\tlast heard\tconfirmations\tround trip\tepoch\taddress")
	for _, member := range view.Members {
		heard := "never"
		if member.LastHeardAge >= 0 {
			heard = formatAge(member.LastHeardAge) + " ago"
		}
		fmt.Fprintf(w, "%s\t%s\t%v\t%s\t%v\t%s\t%d\t%.1f ms\t%d\t%v\n",
			member.Name, member.Zone, member.State, formatAge(member.StateAge), member.Reach, heard,
			member.Confirmations, float64(member.RTT)/microsPerMilli, member.ID.Epoch, member.Addr)
	}
}

func printSelf(view *membership.View) {
	self, connectivity := &view.Self, &view.Connectivity
	partition := "a majority"
	if !connectivity.Majority {
		partition = "isolated or in the minority"
	}
	fmt.Printf("%s of %s (epoch %d, incarnation %d) is %v: %d of %d routers reachable, %s for %s; "+
		"%d of its last %d probes answered\n",
		self.Name, self.Zone, self.ID.Epoch, self.Incarnation, connectivity.State,
		connectivity.Reachable, connectivity.Known, partition, formatAge(connectivity.MajorityAge),
		connectivity.ProbesAnswered, connectivity.ProbesSent)
}

// formatAge formats an age in microseconds as seconds, short ones with a decimal.
func formatAge(age int64) string {
	if age < 10*microsPerSecond {
		return fmt.Sprintf("%.1f s", float64(age)/microsPerSecond)
	}
	return fmt.Sprintf("%d s", age/microsPerSecond)
}

// matrixMarks are the cells of the matrix by a member's state.
var matrixMarks = map[membership.State]string{
	membership.StateUnknown:      " ",
	membership.StateJoining:      "j",
	membership.StateAlive:        "A",
	membership.StateSuspect:      "s",
	membership.StateDead:         "D",
	membership.StateLeaving:      "l",
	membership.StateLeft:         "L",
	membership.StateNameConflict: "2",
}

const matrixLegend = "each row is a router's view of all: A alive, a alive (reached through others only), " +
	"s suspect, D dead, l leaving, L left,\n" +
	"j joining, 2 name conflict, ? the row's router did not answer"

// printMatrix prints a row for each router: its view of itself and all others.
func printMatrix(matrix *transport.Matrix) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)
	fmt.Fprintln(w, "\t"+strings.Join(matrix.Names, "\t"))
	for _, observer := range matrix.Names {
		row := []string{observer}
		for _, member := range matrix.Names {
			row = append(row, matrixMark(matrix, member, observer))
		}
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	w.Flush()
	fmt.Println(matrixLegend)
	if disagreements := matrix.Disagreements(); len(disagreements) > 0 {
		fmt.Println("they disagree on", strings.Join(disagreements, ", "))
	} else {
		fmt.Println("all that answered agree")
	}
}

func matrixMark(matrix *transport.Matrix, member, observer string) string {
	status, answered := matrix.Status(member, observer)
	switch {
	case !answered:
		return "?"
	case status.State == membership.StateAlive && status.Reach == membership.ReachRelayed:
		return "a"
	}
	return matrixMarks[status.State]
}

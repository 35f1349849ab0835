package emulator

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// routerProcess is a router, and what it alone talks to: its discovery service and its own
// listener for each server.
type routerProcess struct {
	*socketRun
	id int

	clientAddr     string
	gatewayAddr    string         // "": its site is alone
	membershipAddr netip.AddrPort // invalid: routers don't know each other

	cmd          *exec.Cmd
	startCount   int
	exited       chan struct{} // closed when cmd has ended
	killed       bool          // cmd ended, or will end, at the emulator's will
	costCounted  *exec.Cmd     // the last process that the run's cost includes
	orphanGroups []int         // process groups of killed supervisors, whose generations may run on
	log          logTail
	starveTicker *time.Ticker // times the pauses that take its CPU; nil: none

	discoveryListener net.Listener
	discoveryEvents   []json.RawMessage          // revisions from 1, anew at each start
	eventPosted       chan struct{}              // closed at the next discovery event
	servers           map[string]*serverListener // by server
	requests          map[string]*clientRequest  // by request, the forwarded ones too
}

// findProgram checks that the router's program exists. "": quilldoor beside this program.
func findProgram(name string) (string, error) {
	if name == "" {
		self, err := os.Executable()
		if err != nil {
			return "", err
		}
		name = filepath.Join(filepath.Dir(self), "quilldoor")
	}
	if _, err := os.Stat(name); err != nil {
		return "", fmt.Errorf("the router's program: %w", err)
	}
	return name, nil
}

// discoveryReadTimeout bounds the reading of a discovery request.
const discoveryReadTimeout = 10 * time.Second

// prepare reserves addresses, and starts the discovery service and the servers' listeners.
func (r *routerProcess) prepare() error {
	if err := r.reserveAddresses(); err != nil {
		return err
	}
	var err error
	if r.discoveryListener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(r.serveLongPoll), ReadTimeout: discoveryReadTimeout}
	r.goroutines.Go(func() { _ = server.Serve(r.discoveryListener) }) // it ends with the listener
	r.goroutines.Go(func() {
		<-r.ctx.Done()
		server.Close()
	})
	for _, s := range r.simulation.EndpointList() {
		if _, err := r.listenerFor(s.ID); err != nil {
			return err
		}
	}
	return nil
}

// runsEarlier tells whether the router runs the earlier version.
func (r *routerProcess) runsEarlier() bool { return r.config.Earlier != "" && r.id%2 == 1 }

// configPath is the file of the platform's configuration of the router.
func (r *routerProcess) configPath() string {
	return filepath.Join(r.dir, r.platformName()+".json")
}

package simulation

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"

	"quilldoor/internal/policy"
	"quilldoor/internal/scenario"
)

// TestMain fixes the seed of the property tests, so that they run the same cases each time.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// nopDriver is a driver that ignores all calls, so its routers never answer.
type nopDriver struct{}

func (nopDriver) RequestArrived(*Request)                   {}
func (nopDriver) ClientDisconnected(int, string)            {}
func (nopDriver) AttemptEnded(int, *Attempt, AttemptResult) {}
func (nopDriver) Notify(int, DiscoveryEvent)                {}
func (nopDriver) KillRouter(int)                            {}
func (nopDriver) StartRouter(int, []policy.Endpoint)        {}
func (nopDriver) SuspendRouter(int)                         {}
func (nopDriver) ResumeRouter(int)                          {}
func (nopDriver) StarveRouter(int, float64)                 {}
func (nopDriver) Record(*Entry)                             {}

// newBareSimulation is a simulation without servers, clients or faults.
func newBareSimulation() *Simulation {
	s := scenario.Default()
	return &Simulation{scenario: &s, driver: nopDriver{}, random: rand.New(rand.NewPCG(1, 1))}
}

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

// silentDriver is a driver whose routers never answer.
type silentDriver struct{}

func (silentDriver) RequestArrived(*Request)                   {}
func (silentDriver) ClientGone(int, string)                    {}
func (silentDriver) AttemptEnded(int, *Attempt, AttemptResult) {}
func (silentDriver) Notify(int, DiscoveryEvent)                {}
func (silentDriver) KillRouter(int)                            {}
func (silentDriver) StartRouter(int, []policy.Endpoint)        {}
func (silentDriver) SuspendRouter(int)                         {}
func (silentDriver) ResumeRouter(int)                          {}
func (silentDriver) StarveRouter(int, float64)                 {}
func (silentDriver) Record(*Entry)                             {}

// newBareSimulation is a simulation without servers, clients or faults.
func newBareSimulation() *Simulation {
	s := scenario.Default()
	return &Simulation{scenario: &s, driver: silentDriver{}, random: rand.New(rand.NewPCG(1, 1))}
}

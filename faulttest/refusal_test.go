package faulttest

import (
	"testing"
	"time"

	"github.com/sesamelift/sesamelift/api"
)

// Guards against a job that the next owner of its key runs after the first owner has
// refused it as not run. The refusal happens without an agent, with an agent that has
// a record of it, and with an agent that restarts and loses the record.
func TestRefusalOutlivesOwnerAndAgent(t *testing.T) {
	t.Parallel()
	for name, agents := range map[string]int{"no agent": 0, "agent": 1, "agent restarted": 1} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 18, 2, agents)
			owner := c.entries[0]
			var keys []api.Key
			for range 10 {
				key := c.keyOwnedBy(owner)
				s := submission(key, 2, 1)
				if agents > 0 {
					// The deadline is too short for any task to start.
					s.DeadlineMS = 1
				}
				keys = append(keys, key)
				c.submitJob([]string{owner.callerAddr}, key, s, 5*time.Second)
			}
			owner.kill()
			if name == "agent restarted" {
				c.agents[0].kill()
				c.agents[0].start()
			}
			c.waitRemoved(owner)
			if agents == 0 {
				c.addAgent()
			}
			c.eventually("the other entry has a worker", 10*time.Second, func() bool {
				s, err := c.entries[1].status()
				return err == nil && s.Workers == 1 && c.agents[0].ready()
			})
			for _, key := range keys {
				c.submit([]string{c.entries[1].callerAddr}, key, 2, 1, 5*time.Second)
			}
			c.verifyExecutions()
		})
	}
}

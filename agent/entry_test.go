package agent_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Nodes ended or no longer followed the list of nodes because of one odd entry in it.
var _ = Describe("agents with an odd entry of another writer among those of the nodes", func() {
	const entry = `{"node":"NODE","inc":1,"seq":1,"dc":"costa-norte","region":"costa","addr":"127.0.0.1:9","link":7,"target":{"id":"i-9","born":1,"service":"stock","slots":9,"state":"open","cold":1}}`
	entries := map[string]struct{ old, replacement string }{
		"that is deeply nested":            {entry, strings.Repeat(`{"node":`, 100_000)},
		"that is a deeply nested list":     {`7`, strings.Repeat("[", 100_000)},
		"whose incarnation is too large":   {`"inc":1`, `"inc":9223372036854775807`},
		"whose incarnation doesn't fit":    {`"inc":1`, `"inc":1e400`},
		"whose sequence is too large":      {`"seq":1`, `"seq":18446744073709551615`},
		"whose port is out of range":       {`127.0.0.1:9`, `127.0.0.1:70000`},
		"whose address is a name":          {`127.0.0.1:9`, `elsewhere:9`},
		"whose link is too wide":           {`"link":7`, `"link":1e300`},
		"whose slots are too many":         {`"slots":9`, `"slots":9223372036854775807`},
		"whose slots are negative":         {`"slots":9`, `"slots":-9`},
		"whose warm-up is too long":        {`"cold":1`, `"cold":9223372036854775807`},
		"whose state is unknown":           {`"open"`, `"asleep"`},
		"whose start time is out of range": {`"born":1`, `"born":-1`},
		"that has a field of another type": {`"costa"`, `[]`},
		"that lacks its region":            {`"region":"costa",`, ``},
		"that lacks its data centre":       {`"dc":"costa-norte",`, ``},
		"whose target lacks its service":   {`"service":"stock",`, ``},
		"that names another node":          {`"NODE"`, `"vm-1"`},
	}
	odd := func(name, node string) []byte {
		c := entries[name]
		return []byte(strings.ReplaceAll(strings.Replace(entry, c.old, c.replacement, 1), "NODE", node))
	}
	It("follow the list and changes", func() {
		s := newCluster("stock", "orders")
		version := 1
		for name := range entries {
			for _, node := range []string{"vm-9", "vm-0"} { // one that does not exist, and a living one
				s.store.Put("open/"+node, odd(name, node))
				version++
				s.store.Put("op/config", plan(version, "/stock/", "stock"))
				for _, n := range s.nodes {
					Eventually(n.version).WithTimeout(changeTime).Should(Equal(version), "%s with an entry %s", n.cfg.VM, name)
				}
			}
			Consistently(func() []int {
				return []int{s.nodes[0].status("/stock/1")(), s.nodes[1].status("/stock/1")(), s.nodes[0].status("/orders/1")()}
			}).WithTimeout(200*time.Millisecond).Should(HaveEach(200), "with an entry "+name)
		}
	})
	It("follow the list and changes if another node sends it", func() {
		s := newCluster("stock", "orders")
		for _, name := range []string{"whose incarnation is too large", "whose slots are too many", "whose port is out of range"} {
			for _, n := range s.nodes {
				resp, err := http.Post("http://"+string(n.cfg.LinkAddress)+"/cassialead/view", "application/json",
					strings.NewReader(fmt.Sprintf(`{"records":[%s,%s]}`, odd(name, "vm-0"), odd(name, "vm-9"))))
				Expect(err).NotTo(HaveOccurred())
				Expect(resp.Body.Close()).To(Succeed())
			}
			Consistently(s.nodes[1].status("/stock/1")).WithTimeout(200*time.Millisecond).Should(Equal(200), name)
		}
	})
	for _, name := range []string{"that is deeply nested", "whose incarnation is too large", "whose port is out of range"} {
		It("start again with one "+name+" in their place", func() {
			s := newCluster("stock", "orders")
			n := s.nodes[0]
			n.stop()
			Eventually(n.done).WithTimeout(waitTimeout).Should(BeClosed())
			s.store.Put("open/vm-0", odd(name, "vm-0"))
			s.start(n)
			Eventually(n.ready).WithTimeout(waitTimeout).Should(BeTrue())
			Eventually(func() int { n.heartbeat("ready"); return s.nodes[1].status("/stock/1")() }).WithTimeout(waitTimeout).Should(Equal(200))
		})
	}
})

package soak_test

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// The crowd of the tests with the limits of the smallest VM; they were fixed on the code before socket buffers were limited.
const (
	smallestMemoryMB    = 184
	smallestDescriptors = 4100
	smallestBody        = 64 << 20
	smallestCrowd       = 1000
)

// What the kernel holds for a process's connections is memory of the VM as well: each form guards against a node that stays within
// its memory only if that is left out.
func TestDoorSocketMemory(t *testing.T) {
	small := doorOptions{memoryMB: doorMemoryMB, descriptors: doorDescriptors, maxBody: doorBody}
	smallest := doorOptions{memoryMB: smallestMemoryMB, descriptors: smallestDescriptors, maxBody: smallestBody}
	get := "GET /stock/big HTTP/1.1\r\nHost: a.example\r\nRequest-Id: m\r\n\r\n"
	for name, c := range map[string]struct {
		options doorOptions
		crowd   int
		attack  func(n *doorNode, crowd int)
	}{
		"answers that callers do not read": {small, doorCrowd, func(n *doorNode, crowd int) {
			n.crowd(crowd, n.cfg.CallAddress, strings.Repeat(get, 2000))
		}},
		"answers of all listeners that clients do not read": {small, doorCrowd, func(n *doorNode, crowd int) {
			for address, path := range n.listeners() {
				n.crowd(crowd/3, address, pipeline(path, "", 20_000))
			}
		}},
		"bodies that stop one byte short": {small, doorCrowd, func(n *doorNode, crowd int) {
			n.crowd(crowd, n.cfg.CallAddress, withLength("/stock/1", doorBody, doorBody-1))
		}},
		"bodies on paths that do not read them": {small, doorCrowd, func(n *doorNode, crowd int) {
			for address, path := range n.listeners() {
				n.crowd(crowd/3, address, withLength(path, 1<<40, 8*doorBody))
			}
		}},
		"smallest VM: answers that callers do not read": {smallest, smallestCrowd, func(n *doorNode, crowd int) {
			n.crowd(crowd, n.cfg.CallAddress, strings.Repeat(get, 2000))
		}},
		"smallest VM: bodies of the largest size that stop": {smallest, smallestCrowd, func(n *doorNode, crowd int) {
			text := withLength("/stock/1", smallestBody, smallestBody-1)
			n.crowd(crowd, n.cfg.CallAddress, text)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			n := launchDoorNode(t, c.options)
			n.writeBuffer = 64 << 10
			n.awaitServing()
			stop := n.watchFootprint(t)
			c.attack(n, c.crowd)
			time.Sleep(doorSettle)
			status := n.retryOrdinary(doorPatience)
			worst := stop()
			t.Logf("resident %.1f MB and sockets %.1f MB, ordinary request %d", float64(worst.resident)/(1<<20), float64(worst.sockets)/(1<<20), status)
			if most := int(c.options.memoryMB) << 20; worst.total() > most {
				t.Errorf("%d bytes resident and %d in sockets, want at most %d", worst.resident, worst.sockets, most)
			}
			select {
			case <-n.exited:
				t.Fatal("the process has ended")
			default:
			}
			if status != http.StatusOK {
				t.Errorf("the ordinary request got %d, want 200", status)
			}
		})
	}
}

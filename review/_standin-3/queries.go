package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// memory returns a figure of a node process in MiB, from its status file.
func (m *machine) memory(figure string) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return -1
	}
	for line := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(line, figure+":"); ok {
			kb, _ := strconv.Atoi(strings.Fields(v)[0])
			return kb >> 10
		}
	}
	return -1
}

const (
	contact       = 3500 * time.Millisecond // contactS and a margin
	machineMemory = 184                     // MiB of the smallest machine of the site
	queries       = 9000                    // requests of the crowd
	queryBytes    = 15500                   // of each query; the configuration allows heads of 16,384 bytes
	crowd         = 200                     // clients of it at a time
	uploadBytes   = 60 << 20                // of one body afterwards; the configuration allows 64 MiB
)

// longQueries sends many requests with long queries, more than their service can serve, and in calm afterwards a single long body.
func longQueries(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec)
	if err != nil {
		return notRun, err
	}
	defer f.close()
	f.memoryMB = machineMemory
	front := f.add("ishikari-a", "ishikari", "orders")
	f.add("ishikari-b", "ishikari", "drafts")
	f.putConfig(1, []route{{"draft-view", "drafts.example", "/drafts/", "safe", "drafts", 3}, {"final-approve", "orders.example", "/orders/", "unsafe", "orders", 8}})
	if err := f.start(func(*machine) behaviour {
		return behaviour{slots: 18, handle: func(u *upstream, c *call, _ <-chan struct{}) []byte {
			time.Sleep(310 * time.Millisecond)
			return u.ok(c, "whole")
		}}
	}); err != nil {
		return notRun, err
	}
	time.Sleep(contact)
	measure := func(when string) {
		rec.add("machine %s, %s: resident %d MiB, peak %d MiB of %d", front.name, when, front.memory("VmRSS"), front.memory("VmHWM"), machineMemory)
	}
	measure("at the start")
	if trouble {
		sendQueries(rec, front)
		measure("after the crowd")
	}
	time.Sleep(contact)
	measure("in calm")
	for i := range 3 {
		status, err := request(front.outbound(), fmt.Sprintf("GET /drafts/ordinary HTTP/1.1\r\nHost: drafts.example\r\nRequest-Id: ordinary%d\r\nTimeout-Ms: 8000\r\n\r\n", i), nil)
		rec.add("client: ordinary request gets %d, %v", status, err)
	}
	status, err := request(front.outbound(), fmt.Sprintf("POST /orders/upload HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: upload1\r\nTimeout-Ms: 8000\r\nContent-Length: %d\r\n\r\n", uploadBytes), make([]byte, uploadBytes))
	rec.add("client: request with a body of %d bytes gets %d, %v", uploadBytes, status, err)
	measure("after a single upload")
	peak := front.memory("VmHWM")
	fmt.Printf("peak %d MiB of %d\n", peak, machineMemory)
	switch {
	case !front.alive() || peak < 0:
		return broken, nil
	case peak > machineMemory:
		return broken, nil
	}
	return held, nil
}

// request sends one request on a new connection and returns the status of its answer.
func request(address, head string, body []byte) (int, error) {
	c, err := net.Dial("tcp4", address)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(c, head); err != nil {
		return 0, err
	}
	if _, err := c.Write(body); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// sendQueries sends the requests of the crowd to a machine.
func sendQueries(rec *record, front *machine) {
	var n atomic.Int64
	var mu sync.Mutex
	results := map[string]int{}
	var wait sync.WaitGroup
	for range crowd {
		wait.Go(func() {
			for i := n.Add(1); i <= queries; i = n.Add(1) {
				query := fmt.Sprintf("n=%07d", i) + strings.Repeat("&a=1", queryBytes/4) // very many short fields
				status, err := request(front.outbound(), fmt.Sprintf("GET /drafts/1?%s HTTP/1.1\r\nHost: drafts.example\r\nRequest-Id: q%015d\r\nTimeout-Ms: 8000\r\n\r\n", query, i), nil)
				mu.Lock()
				if err != nil {
					results["no answer"]++
				} else {
					results[strconv.Itoa(status)]++
				}
				if i%1000 == 0 {
					rec.add("crowd: %d requests sent, answers %v; machine %s: resident %d MiB", i, results, front.name, front.memory("VmRSS"))
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	rec.add("crowd: %d requests sent, answers %v", queries, results)
}

package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	stoppers  = 700  // clients that stop half-way
	headBytes = 3800 // of each head with short fields; the configuration allows 16,384
	bodyBytes = 4096 // of each body; the configuration allows 64 MiB
	stopShort = 1    // bytes of each body that are not sent
	stopTime  = 8 * time.Second
)

// tokens are the characters of a field's name.
const tokens = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"

func shortFields(bytes int) string {
	var b strings.Builder
	for i := 0; b.Len() < bytes; i++ {
		fmt.Fprintf(&b, "%c%c:\r\n", tokens[i%len(tokens)], tokens[i/len(tokens)%len(tokens)])
	}
	return b.String()
}

func shortFieldsAhead(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec)
	if err != nil {
		return notRun, err
	}
	defer f.close()
	f.memoryMB = machineMemory
	front := f.add("ishikari-a", "ishikari", "orders")
	f.add("ishikari-b", "ishikari", "drafts")
	f.add("ishikari-a", "ishikari", "drafts")
	f.putConfig(1, []route{{"draft-view", "drafts.example", "/drafts/", "safe", "drafts", 3}, {"final-approve", "orders.example", "/orders/", "unsafe", "orders", 8}})
	if err := f.start(func(*machine) behaviour {
		return behaviour{slots: 18, handle: func(u *upstream, c *call, _ <-chan struct{}) []byte {
			time.Sleep(50 * time.Millisecond)
			return u.ok(c, "whole")
		}}
	}); err != nil {
		return notRun, err
	}
	time.Sleep(contact)
	n, _ := strconv.Atoi(os.Getenv("N"))
	if n == 0 {
		n = stoppers
	}
	measure := func(when string) {
		rec.add("machine %s, %s: resident %d MiB, peak %d MiB of %d", front.name, when, front.memory("VmRSS"), front.memory("VmHWM"), machineMemory)
	}
	measure("at the start")
	var wait sync.WaitGroup
	if trouble {
		end := time.Now().Add(stopTime)
		fields := shortFields(headBytes)
		for i := range n {
			time.Sleep(4 * time.Millisecond)
			wait.Go(func() {
				for k := 0; time.Now().Before(end); k++ {
					c, err := net.Dial("tcp4", front.outbound())
					if err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
					_ = c.SetDeadline(end)
					_, _ = io.WriteString(c, fmt.Sprintf("GET /drafts/1 HTTP/1.1\r\nHost: drafts.example\r\nRequest-Id: a%d-%d\r\nTimeout-Ms: 8000\r\n\r\nPOST /orders/2 HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: b%d-%d\r\nTimeout-Ms: 8000\r\nContent-Length: %d\r\n%s\r\n", i, k, i, k, bodyBytes, fields))
					b := make([]byte, 4096)
					got, _ := c.Read(b)
					if strings.HasPrefix(string(b[:got]), "HTTP/1.1 200") {
						_, _ = c.Write(make([]byte, bodyBytes-stopShort))
						_, err := c.Read(b) // until the node or the crowd ends
						_ = err
					}
					_ = c.Close()
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
	}
	for range 3 {
		time.Sleep(time.Second)
		measure("with the crowd")
	}
	status, err := request(front.outbound(), fmt.Sprintf("POST /orders/upload HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: upload1\r\nTimeout-Ms: 8000\r\nContent-Length: %d\r\n\r\n", uploadBytes), make([]byte, uploadBytes))
	rec.add("client: request with a body of %d bytes gets %d, %v", uploadBytes, status, err)
	measure("after a single upload")
	wait.Wait()
	status, err = request(front.outbound(), "GET /drafts/ordinary HTTP/1.1\r\nHost: drafts.example\r\nRequest-Id: ordinary\r\nTimeout-Ms: 8000\r\n\r\n", nil)
	rec.add("client: ordinary request gets %d, %v", status, err)
	measure("at the end")
	peak := front.memory("VmHWM")
	fmt.Printf("peak %d MiB of %d\n", peak, machineMemory)
	if !front.alive() || peak < 0 || peak > machineMemory {
		return broken, nil
	}
	return held, nil
}

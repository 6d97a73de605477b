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
	"time"
)

const (
	uploaders   = 1600                   // clients that send bodies
	longLength  = 1 << 20                // bytes of each body; the configuration allows 64 MiB
	uploadPause = 100 * time.Millisecond // before a client tries again
	uploadTime  = 8 * time.Second
)

// unread returns the bytes that the kernel has received for the callers' listener of a machine and its process has not read, in MiB.
func (m *machine) unread() int {
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	ip := net.ParseIP(m.ip).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], 8629)
	sum := int64(0)
	for line := range strings.Lines(string(b)) {
		fields := strings.Fields(line)
		const established, closeWait = "01", "08"
		if len(fields) < 5 || fields[1] != local || fields[3] != established && fields[3] != closeWait {
			continue
		}
		_, queued, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(queued, 16, 64)
		sum += n
	}
	return int(sum >> 20)
}

// unreadBodies has many clients send bodies that stop one byte short.
func unreadBodies(rec *record, trouble bool) (int, error) {
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
		return behaviour{slots: 18, handle: func(u *upstream, c *call, _ <-chan struct{}) []byte { return u.ok(c, "whole") }}
	}); err != nil {
		return notRun, err
	}
	time.Sleep(contact)
	end := time.Now().Add(uploadTime)
	var wait sync.WaitGroup
	answers := map[string]int{}
	var mu sync.Mutex
	if trouble {
		body := make([]byte, longLength-1)
		for i := range uploaders {
			wait.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					c, err := net.Dial("tcp4", front.outbound())
					if err != nil {
						time.Sleep(uploadPause)
						continue
					}
					_ = c.SetDeadline(end)
					_, err = fmt.Fprintf(c, "POST /orders/%d HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: u%04d-%d\r\nTimeout-Ms: 8000\r\nContent-Length: %d\r\n\r\n", n, i, n, longLength)
					if err == nil {
						_, err = c.Write(body)
					}
					result := "none"
					if err == nil {
						var resp *http.Response
						if resp, err = http.ReadResponse(bufio.NewReader(c), nil); err == nil {
							_, _ = io.Copy(io.Discard, resp.Body)
							result = strconv.Itoa(resp.StatusCode)
						}
					}
					mu.Lock()
					answers[result]++
					mu.Unlock()
					_ = c.Close()
					time.Sleep(uploadPause)
				}
			})
		}
	}
	most, mostResident, mostUnread := 0, 0, 0
	for n := 0; time.Now().Before(end); n++ {
		resident, unread := front.memory("VmRSS"), front.unread()
		if resident+unread > most {
			most, mostResident, mostUnread = resident+unread, resident, unread
		}
		if n%20 == 0 {
			rec.add("machine %s: resident %d MiB, received and not read %d MiB, of %d", front.name, resident, unread, machineMemory)
		}
		time.Sleep(20 * time.Millisecond)
	}
	wait.Wait()
	rec.add("crowd: answers %v", answers)
	status, err := request(front.outbound(), "GET /drafts/ordinary HTTP/1.1\r\nHost: drafts.example\r\nRequest-Id: ordinary\r\nTimeout-Ms: 8000\r\n\r\n", nil)
	rec.add("client: ordinary request gets %d, %v", status, err)
	rec.add("most at one moment: resident %d MiB and received and not read %d MiB, %d of %d", mostResident, mostUnread, most, machineMemory)
	fmt.Printf("resident %d + unread %d = %d MiB of %d\n", mostResident, mostUnread, most, machineMemory)
	if most > machineMemory || !front.alive() {
		return broken, nil
	}
	return held, nil
}

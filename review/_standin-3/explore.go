package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func explore(rec *record, _ bool) (int, error) {
	f, err := newFleet(rec)
	if err != nil {
		return notRun, err
	}
	defer f.close()
	f.memoryMB = machineMemory
	front := f.add("ishikari-a", "ishikari", "orders")
	f.add("ishikari-b", "ishikari", "drafts")
	if os.Getenv("MORE") != "" {
		f.add("ishikari-a", "ishikari", "drafts")
		f.add("ishikari-b", "ishikari", "drafts")
	}
	f.putConfig(1, []route{{"draft-view", "drafts.example", "/drafts/", "safe", "drafts", 3}, {"final-approve", "orders.example", "/orders/", "unsafe", "orders", 8}})
	kb, _ := strconv.Atoi(os.Getenv("KB"))
	work, _ := strconv.Atoi(os.Getenv("WORK"))
	big := strings.Repeat("y", kb<<10)
	if err := f.start(func(*machine) behaviour {
		return behaviour{slots: 18, handle: func(u *upstream, c *call, _ <-chan struct{}) []byte {
			time.Sleep(time.Duration(work) * time.Millisecond)
			if strings.Contains(c.URL.Path, "big") {
				return u.ok(c, big)
			}
			return u.ok(c, "whole")
		}}
	}); err != nil {
		return notRun, err
	}
	time.Sleep(contact)
	kind := os.Getenv("CROWD")
	var wait sync.WaitGroup
	stop := time.Now().Add(15 * time.Second)
	chunk := make([]byte, 256<<10)
	client := func(i int) {
		for n := 0; time.Now().Before(stop); n++ {
			c, err := net.Dial("tcp4", front.outbound())
			if err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			_ = c.SetDeadline(time.Now().Add(8 * time.Second))
			id := fmt.Sprintf("%d-%d", i, n)
			switch kind {
			case "upload":
				size := []int{64 << 20, 60 << 20, 20 << 20, 8 << 20, 1 << 20}[rand.IntN(5)]
				_, _ = fmt.Fprintf(c, "POST /orders/1 HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: %s\r\nTimeout-Ms: 8000\r\nContent-Length: %d\r\n\r\n", id, size)
				for sent := 0; sent < size-1; {
					k, err := c.Write(chunk[:min(len(chunk), size-1-sent)])
					sent += k
					if err != nil {
						break
					}
				}
				time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
			case "chunked":
				_, _ = fmt.Fprintf(c, "POST /orders/1 HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: %s\r\nTimeout-Ms: 8000\r\nTransfer-Encoding: chunked\r\n\r\n", id)
				for range 250 {
					_, _ = fmt.Fprintf(c, "%x\r\n", len(chunk))
					if _, err := c.Write(chunk); err != nil {
						break
					}
					_, _ = io.WriteString(c, "\r\n")
				}
				time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
			case "slowread":
				_, _ = fmt.Fprintf(c, "GET /drafts/big HTTP/1.1\r\nHost: drafts.example\r\nRequest-Id: %s\r\nTimeout-Ms: 8000\r\n\r\n", id)
				b := make([]byte, 100)
				_, _ = c.Read(b)
				time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
			case "plainfields":
				var b strings.Builder
				for j := 0; b.Len() < 15800; j++ {
					fmt.Fprintf(&b, "%c%c%c:\r\n", 'a'+j%26, 'a'+j/26%26, 'a'+j/676%26)
				}
				_, _ = io.WriteString(c, fmt.Sprintf("POST /orders/2 HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: %sb\r\nTimeout-Ms: 8000\r\nContent-Length: 100\r\n", id)+b.String()+"\r\n")
				time.Sleep(time.Duration(rand.IntN(6000)) * time.Millisecond)
			case "idle":
				_, _ = io.WriteString(c, fmt.Sprintf("POST /orders/2 HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: %sb\r\nTimeout-Ms: 8000\r\nContent-Length: 100\r\n\r\n", id))
				time.Sleep(time.Duration(rand.IntN(6000)) * time.Millisecond)
			case "ahead":
				one := fmt.Sprintf("GET /drafts/big HTTP/1.1\r\nHost: drafts.example\r\nRequest-Id: %s\r\nTimeout-Ms: 8000\r\n\r\n", id)
				_, _ = io.WriteString(c, strings.Repeat(one, 100))
				time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
			case "fields":
				head := fmt.Sprintf("GET /x HTTP/1.1\r\nHost: drafts.example\r\nRequest-Id: %s\r\nTimeout-Ms: 8000\r\n\r\n", id)
				var b strings.Builder
				for j := 0; b.Len() < 3800; j++ {
					fmt.Fprintf(&b, "%c%c:\r\n", 'a'+j%26, 'a'+j/26%26)
				}
				_, _ = io.WriteString(c, strings.Replace(head, "/x", "/drafts/2", 1)+fmt.Sprintf("POST /orders/2 HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: %sb\r\nTimeout-Ms: 8000\r\nContent-Length: 100\r\n", id)+b.String()+"\r\n")
				time.Sleep(time.Duration(rand.IntN(6000)) * time.Millisecond)
			}
			_ = c.Close()
		}
	}
	clients := 900
	if kind == "upload" || kind == "chunked" {
		clients = 30
	}
	for i := range clients {
		wait.Go(func() { client(i) })
	}
	for n := 0; time.Now().Before(stop); n++ {
		time.Sleep(time.Second)
		if n == 8 {
			status, err := request(front.outbound(), fmt.Sprintf("POST /orders/upload HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: upload1\r\nTimeout-Ms: 8000\r\nContent-Length: %d\r\n\r\n", uploadBytes), make([]byte, uploadBytes))
			fmt.Println("upload", status, err)
		}
		fmt.Printf("%s: resident %d peak %d; others", kind, front.memory("VmRSS"), front.memory("VmHWM"))
		for _, m := range f.machines[1:] {
			fmt.Printf(" %d/%d", m.memory("VmRSS"), m.memory("VmHWM"))
		}
		fmt.Println()
	}
	wait.Wait()
	return held, nil
}

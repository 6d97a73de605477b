package soak_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// process is a process under test.
type process struct {
	t   *testing.T
	cmd *exec.Cmd
	log string
	// writeBuffer is the send buffer of the connections of a crowd in bytes; zero means that of the system.
	writeBuffer int
	ports       []uint16 // on which it listens
	exited      chan struct{}
}

// startProcess starts the test binary with further variables in its environment, and kills it at the end of the test.
func startProcess(t *testing.T, name string, env ...string) *process {
	t.Helper()
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, cmd: exec.Command(program), exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	log, err := os.Create(filepath.Join(os.TempDir(), "door-"+strings.ReplaceAll(t.Name()+name, "/", "-")+".log"))
	if err != nil {
		t.Fatal(err)
	}
	p.log, p.cmd.Stdout, p.cmd.Stderr = log.Name(), log, log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait() // a killed process returns an error
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.exited
		_ = log.Close()
	})
	return p
}

// startCommand starts a command of the program.
func startCommand(t *testing.T, args ...string) *process {
	t.Helper()
	name := "-" + args[0]
	if args[0] == "standin" {
		name += "-" + args[1]
	}
	return startProcess(t, name, commandEnv+"="+strings.Join(args, " "))
}

// status returns a figure of the process's status in bytes.
func (p *process) status(field string) int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	s := bufio.NewScanner(bytes.NewReader(status))
	for s.Scan() {
		if f := strings.Fields(s.Text()); len(f) > 1 && f[0] == field+":" {
			kb, _ := strconv.Atoi(f[1])
			return kb << 10
		}
	}
	return 0
}

// residentPeak returns the largest resident memory of the process so far, in bytes.
func (p *process) residentPeak() int { return p.status("VmHWM") }

func (p *process) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(entries)
}

// check expects the process within the bounds and request to be answered with 200.
func (p *process) check(request func() int) {
	p.t.Helper()
	most := 0
	for end := time.Now().Add(doorSettle); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		most = max(most, p.descriptors())
	}
	status := retry(doorPatience, request)
	select {
	case <-p.exited:
		p.t.Fatal("the process has ended")
	default:
	}
	peak := p.residentPeak()
	p.t.Logf("resident peak %.1f MB, descriptors %d, ordinary request %d", float64(peak)/(1<<20), most, status)
	if peak == 0 || peak > doorMemoryMB<<20 {
		p.t.Errorf("resident memory of %d bytes, want at most %d MB", peak, doorMemoryMB)
	}
	if most > doorDescriptors {
		p.t.Errorf("%d open descriptors, want at most %d", most, doorDescriptors)
	}
	if status != http.StatusOK {
		p.t.Errorf("the ordinary request got %d, want 200", status)
	}
}

// retry repeats a request until it is answered with 200, and returns the last status.
func retry(patience time.Duration, request func() int) int {
	status := 0
	for end := time.Now().Add(patience); time.Now().Before(end) && status != http.StatusOK; time.Sleep(200 * time.Millisecond) {
		status = request()
	}
	return status
}

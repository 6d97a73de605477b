package soak

import (
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/platform"
	"github.com/cassialead/cassialead/settings"
)

const (
	restartDelay = 200 * time.Millisecond // between the exit of a process and its restart
	quietPeriod  = 3 * time.Second        // time without faults after which a SIGTERM counts as a graceful stop
)

// VM is a node's process with its target and the proxies on the node's connections.
type VM struct {
	name         string
	service      config.ServiceName
	cfg          settings.Agent
	program      []string
	env          []string
	settingsFile string
	log          io.Writer
	linkProxy    *Proxy // between other nodes and this one
	storeProxy   *Proxy // between this node and the store
	quietFor     func(time.Duration) bool
	restarted    func() // called before the node's process is started again

	mu           sync.Mutex
	process      *os.Process
	starts       int
	startedAt    time.Time
	gracefulStop bool // the last signal was SIGTERM and followed a quiet period
	closed       bool
	target       *Target
	exited       chan struct{} // closed when the current process has exited
}

// start writes the settings file and starts the node's process, which is restarted whenever it exits.
func (v *VM) start(dir string) error {
	v.settingsFile = filepath.Join(dir, v.name+".conf")
	if err := os.WriteFile(v.settingsFile, []byte(platform.FormatSettings(v.cfg)), 0o600); err != nil {
		return errors.Wrap(err, "write settings of "+v.name)
	}
	return v.startProcess()
}

func (v *VM) startProcess() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.closed {
		return nil
	}
	cmd := exec.Command(v.program[0], v.program[1:]...)
	cmd.Env = append(append(os.Environ(), v.env...), platform.SettingsVariable+"="+v.settingsFile)
	cmd.Stdout, cmd.Stderr = v.log, v.log
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start "+v.name)
	}
	exited := make(chan struct{})
	v.process, v.gracefulStop, v.exited = cmd.Process, false, exited
	v.starts++
	v.startedAt = time.Now()
	go func() {
		_ = cmd.Wait() // a killed process returns an error
		close(exited)
		time.Sleep(restartDelay)
		v.restarted()
		if err := v.startProcess(); err != nil {
			_, _ = io.WriteString(v.log, err.Error()+"\n")
		}
	}()
	return nil
}

// signal sends a signal to the node's process.
func (v *VM) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil {
		return
	}
	v.gracefulStop = s == syscall.SIGTERM && v.quietFor(quietPeriod)
	_ = v.process.Signal(s) // the process may have exited
}

// stoppingGracefully reports whether the node is stopping as a planned operation and no fault is in progress.
func (v *VM) stoppingGracefully() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.gracefulStop && v.quietFor(0)
}

// incarnation returns how often the node's process was started.
func (v *VM) incarnation() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.starts
}

// runningFor reports whether the current process was started at least d ago.
func (v *VM) runningFor(d time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Since(v.startedAt) >= d
}

// close kills the process without a restart, waits for its exit and closes the proxies.
func (v *VM) close() {
	v.mu.Lock()
	v.closed = true
	p, exited := v.process, v.exited
	v.mu.Unlock()
	if p != nil {
		_ = p.Signal(syscall.SIGCONT) // it may be paused
		_ = p.Kill()                  // it may have exited
		<-exited
	}
	v.linkProxy.Close()
	v.storeProxy.Close()
}

// isReady reports whether the node's readiness check succeeds.
func (v *VM) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + string(v.cfg.ReadinessAddress) + platform.ReadinessPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// setTarget replaces the target beside the node.
func (v *VM) setTarget(t *Target) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.target = t
}

func (v *VM) currentTarget() *Target {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.target
}

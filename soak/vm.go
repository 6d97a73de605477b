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
	restartGap = 200 * time.Millisecond // between the end of a process and its next start
	calmBefore = 3 * time.Second        // without other faults, after which a stop counts as planned work alone
)

// VM is one node with the target beside it and the proxies around the node.
type VM struct {
	name    string
	service config.ServiceName
	cfg     settings.Agent
	program []string
	env     []string
	file    string
	log     io.Writer
	links   *Proxy // between other nodes and this one
	store   *Proxy // between this node and the store
	calm    func(time.Duration) bool

	mu       sync.Mutex
	process  *os.Process
	starts   int
	stopping bool // asked to end, and nothing else disturbed it
	closed   bool
	target   *Target
	ended    chan struct{} // closed when the process that runs now has ended
}

// start writes the settings and starts the node's process, which is started again whenever it ends.
func (v *VM) start(dir string) error {
	v.file = filepath.Join(dir, v.name+".conf")
	if err := os.WriteFile(v.file, []byte(platform.FormatSettings(v.cfg)), 0o600); err != nil {
		return errors.Wrap(err, "settings of "+v.name)
	}
	return v.launch()
}

func (v *VM) launch() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.closed {
		return nil
	}
	cmd := exec.Command(v.program[0], v.program[1:]...)
	cmd.Env = append(append(os.Environ(), v.env...), platform.SettingsVariable+"="+v.file)
	cmd.Stdout, cmd.Stderr = v.log, v.log
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start "+v.name)
	}
	ended := make(chan struct{})
	v.process, v.stopping, v.ended = cmd.Process, false, ended
	v.starts++
	go func() {
		_ = cmd.Wait() // killed processes end with an error
		close(ended)
		time.Sleep(restartGap)
		if err := v.launch(); err != nil {
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
	v.stopping = s == syscall.SIGTERM && v.calm(calmBefore)
	_ = v.process.Signal(s) // it may have ended
}

// stoppedCalmly reports whether the node has been asked to end and nothing else disturbs it.
func (v *VM) stoppedCalmly() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.stopping && v.calm(0)
}

// incarnation counts the starts of the node's process.
func (v *VM) incarnation() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.starts
}

// close ends the process for good and waits for its end.
func (v *VM) close() {
	v.mu.Lock()
	v.closed = true
	p, ended := v.process, v.ended
	v.mu.Unlock()
	if p != nil {
		_ = p.Signal(syscall.SIGCONT) // it may be paused
		_ = p.Kill()                  // it may have ended
		<-ended
	}
	v.links.Close()
	v.store.Close()
}

// ready reports whether the node says that it takes callers.
func (v *VM) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + string(v.cfg.ReadinessAddress) + platform.ReadinessPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// occupy puts a target beside the node in place of the one that was there.
func (v *VM) occupy(t *Target) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.target = t
}

func (v *VM) occupant() *Target {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.target
}

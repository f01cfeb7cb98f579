package processbench

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/bronzeyard/bronzeyard/host/config"
)

// process is one running host process.
type process struct {
	config *config.Config
	file   string
	log    *os.File
	cmd    *exec.Cmd
	exited chan error
}

func writeConfig(dir string, c *config.Config) (string, error) {
	data, err := json.MarshalIndent(c, "", "  ")
	if err != nil {
		return "", err
	}
	file := filepath.Join(dir, c.HostID+".json")
	return file, os.WriteFile(file, data, 0o600)
}

// startProcess starts a host process. Its settings and its log are files in dir.
func startProcess(binary, dir string, c *config.Config) (*process, error) {
	file, err := writeConfig(dir, c)
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(dir, c.HostID+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	// The process outlives the contexts of single phases. It is ended by stop or kill.
	cmd := exec.CommandContext(context.Background(), binary, "serve", "--settings", file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	p := &process{config: c, file: file, log: log, cmd: cmd, exited: make(chan error, 1)}
	go func() { p.exited <- cmd.Wait() }()
	return p, nil
}

// stop asks the process to shut down gracefully and waits for its exit.
func (p *process) stop(ctx context.Context) error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case err := <-p.exited:
		return errors.Join(err, p.log.Close())
	case <-ctx.Done():
		return fmt.Errorf("host %s did not exit after SIGTERM: %w", p.config.HostID, ctx.Err())
	}
}

// kill ends the process without a graceful shutdown. It returns an error if the process had already exited by itself.
func (p *process) kill() error {
	if err := p.cmd.Process.Kill(); err != nil {
		return err
	}
	if err := <-p.exited; err == nil {
		return fmt.Errorf("host %s exited before it was killed", p.config.HostID)
	}
	return p.log.Close()
}

const pollInterval = 50 * time.Millisecond

// waitReady waits until the host is ready. It returns an error if the process exits or ctx ends first.
func (p *process) waitReady(ctx context.Context) error {
	for {
		if p.ready(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("host %s did not become ready: %w", p.config.HostID, ctx.Err())
		case err := <-p.exited:
			return fmt.Errorf("host %s exited before it became ready: %w", p.config.HostID, err)
		case <-time.After(pollInterval):
		}
	}
}

func (p *process) ready(ctx context.Context) bool {
	response, err := get(ctx, "http://"+p.config.Admin.Listen+"/readyz", "")
	return err == nil && response.StatusCode == http.StatusOK
}

// response is an HTTP response whose body has been read.
type response struct {
	StatusCode int
	Body       []byte
}

func get(ctx context.Context, url, bearer string) (response, error) {
	return send(ctx, http.MethodGet, url, bearer, nil)
}

func send(ctx context.Context, method, url, bearer string, body []byte) (response, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	if bearer != "" {
		request.Header.Set("Authorization", "Bearer "+bearer)
	}
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var buffer bytes.Buffer
	if _, err := buffer.ReadFrom(resp.Body); err != nil {
		return response{}, err
	}
	return response{StatusCode: resp.StatusCode, Body: buffer.Bytes()}, nil
}

// usage is the processor time that a process has used so far, and its present resident memory.
type usage struct {
	processorTime time.Duration
	residentBytes int64
}

// clockTicks is the number of clock ticks per second, the unit of processor times in /proc on Linux.
const clockTicks = 100

// readUsage reads the processor time and the resident memory of the process from /proc.
func (p *process) readUsage() (usage, error) {
	dir := filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid))
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return usage{}, err
	}
	// The command name in parentheses may contain spaces. Fields are counted after it.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	const userField, systemField, residentField = 11, 12, 21
	var ticks int64
	for _, field := range []int{userField, systemField} {
		n, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return usage{}, err
		}
		ticks += n
	}
	pages, err := strconv.ParseInt(fields[residentField], 10, 64)
	if err != nil {
		return usage{}, err
	}
	return usage{
		processorTime: time.Duration(ticks) * time.Second / clockTicks,
		residentBytes: pages * int64(os.Getpagesize()),
	}, nil
}

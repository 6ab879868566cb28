package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// runAsProgram is the environment variable that makes the test binary run as the program.
const runAsProgram = "BALANCER_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// programCommand returns a command that runs the program with a configuration, and the buffer that receives its log.
func programCommand(t *testing.T, config string) (*exec.Cmd, *bytes.Buffer) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	cmd := exec.Command(os.Args[0])
	cmd.Env, cmd.Stderr = append(os.Environ(), runAsProgram+"=1", "GW_CONFIG="+path), &log
	return cmd, &log
}

func TestBadConfiguration(t *testing.T) {
	cmd, log := programCommand(t, `{"name":"n0"}`)
	cmd.Run()
	if code := cmd.ProcessState.ExitCode(); code != 1 || strings.Count(log.String(), "\n") != 1 || !strings.Contains(log.String(), "listen") {
		t.Errorf("got exit code %d and log %q, want code 1 and one line about listen", code, log)
	}
}

func TestStartAndTerminate(t *testing.T) {
	discovery, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer discovery.Close()
	cmd, _ := programCommand(t, fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1","settings":{
		"caps":{"connect_timeout_ns":250000000},"classes":[{"name":"c","effect":"fragile"}]}}`, discovery.Addr()))
	cmd.Stderr = nil
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	killTimer := time.AfterFunc(time.Minute, func() { cmd.Process.Kill() })
	defer killTimer.Stop()
	lines := bufio.NewScanner(log)
	lines.Scan()
	_, rest, _ := strings.Cut(lines.Text(), "listen=")
	listen, _, _ := strings.Cut(rest, " ")
	client := http.Client{Timeout: 20 * time.Second}
	resp, err := client.Get("http://" + listen + "/health/live")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("liveness check after log line %q: got %v, error %v, want status 200", lines.Text(), resp, err)
	}
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} { // only SIGTERM ends it
		cmd.Process.Signal(s)
	}
	for lines.Scan() {
		if strings.Contains(lines.Text(), "msg=draining") { // a second SIGTERM must not cut the drain short
			cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
}

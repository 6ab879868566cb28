package main

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"

	"github.com/alecthomas/kong"

	"nickelline/internal/control/controlapi"
	"nickelline/internal/golden"
	"nickelline/internal/operator"
)

const (
	validDocument = `{"version":9,"routes":[{"name":"r","hostname":"h","pathPrefix":"/p/","timeoutMs":5,"service":"s"}],` +
		`"services":[{"name":"s"}],"tenants":[]}`
	validPatch   = `{"version":11,"remove":{"routes":["r"]}}`
	invalidPatch = `{"version":11,"remove":{"services":["s"]}}`
)

// operatorCommands are the commands under test.
type operatorCommands struct {
	Config   ConfigCommand   `cmd:""`
	Retire   RetireCommand   `cmd:""`
	Status   StatusCommand   `cmd:""`
	Settings SettingsCommand `cmd:""`
}

// runCommand runs a command line and returns its standard output.
func runCommand(t *testing.T, arguments ...string) (string, error) {
	t.Helper()
	var commands operatorCommands
	parser, err := kong.New(&commands)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := parser.Parse(arguments)
	if err != nil {
		t.Fatal(err)
	}
	return captureOutput(t, func() error { return parsed.Run() })
}

// captureOutput runs an operation and returns what it writes to standard output.
func captureOutput(t *testing.T, operation func() error) (string, error) {
	t.Helper()
	file, err := os.Create(filepath.Join(t.TempDir(), "output"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	stdout := os.Stdout
	os.Stdout = file
	operationErr := operation()
	os.Stdout = stdout
	text, err := os.ReadFile(file.Name())
	if err != nil {
		t.Fatal(err)
	}
	return string(text), operationErr
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func wantExitCode(t *testing.T, err error, code int) {
	t.Helper()
	var coder kong.ExitCoder
	if !errors.As(err, &coder) || coder.ExitCode() != code {
		t.Errorf("got error %v, want one with exit code %d", err, code)
	}
}

// fakeControlNode serves the control API with fixed responses and records the requests.
type fakeControlNode struct {
	mutex    sync.Mutex
	calls    []string
	bodies   map[string]string // response bodies by method and path
	statuses map[string]int    // statuses by method and path, 200 if absent
}

func newFakeControlNode(t *testing.T) (*fakeControlNode, string) {
	n := &fakeControlNode{bodies: map[string]string{}, statuses: map[string]int{}}
	server := httptest.NewServer(n)
	t.Cleanup(server.Close)
	return n, strings.TrimPrefix(server.URL, "http://")
}

func (n *fakeControlNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	key := r.Method + " " + r.URL.Path
	n.calls = append(n.calls, strings.TrimSpace(key+" "+r.Header.Get(controlapi.MatchHeader)+" "+string(body)))
	if status := n.statuses[key]; status != 0 {
		w.WriteHeader(status)
	}
	_, _ = io.WriteString(w, n.bodies[key])
}

func TestConfigGet(t *testing.T) {
	n, address := newFakeControlNode(t)
	n.bodies["GET /-/configuration"] = `{"version":9,"text":"<&>"}`
	output, err := runCommand(t, "config", "get", "--node", address, "--no-indent")
	if err != nil || output != "{\"version\":9,\"text\":\"<&>\"}\n" {
		t.Errorf("%q, %v", output, err)
	}
	path := filepath.Join(t.TempDir(), "out")
	if _, err := runCommand(t, "config", "get", "--node", address, "-o", path); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil || string(text) != "{\n  \"version\": 9,\n  \"text\": \"<&>\"\n}\n" {
		t.Errorf("%q, %v", text, err)
	}
}

func TestConfigPutAndPatch(t *testing.T) {
	n, address := newFakeControlNode(t)
	n.bodies["GET /-/configuration"] = validDocument
	n.bodies["PATCH /-/configuration"] = `{"version":11}`
	output, err := runCommand(t, "config", "patch", "--node", address, writeFile(t, validPatch))
	if err != nil || output != "version 11 is in force (it was 9)\n" {
		t.Errorf("%q, %v", output, err)
	}
	n.bodies["PUT /-/configuration"] = `{"version":9}`
	output, err = runCommand(t, "config", "put", "--node", address, "--match", "4", "--json", writeFile(t, validDocument))
	if err != nil || output != "{\n  \"version\": 9\n}\n" {
		t.Errorf("%q, %v", output, err)
	}
	want := []string{
		"GET /-/configuration", "PATCH /-/configuration 9 " + validPatch, "PUT /-/configuration 4 " + validDocument,
	}
	if !reflect.DeepEqual(n.calls, want) {
		t.Errorf("requests: got %q, want %q", n.calls, want)
	}
}

func TestConfigPutOfFirstVersion(t *testing.T) {
	n, address := newFakeControlNode(t)
	n.statuses["GET /-/configuration"] = http.StatusNotFound
	n.bodies["PUT /-/configuration"] = `{"version":9}`
	if _, err := runCommand(t, "config", "put", "--node", address, writeFile(t, validDocument)); err != nil {
		t.Fatal(err)
	}
	if last := n.calls[len(n.calls)-1]; last != "PUT /-/configuration 0 "+validDocument {
		t.Errorf("last request: got %q, want a PUT that matches version 0", last)
	}
}

func TestInvalidFilesAreNotSent(t *testing.T) {
	n, address := newFakeControlNode(t)
	_, err := runCommand(t, "config", "put", "--node", address, writeFile(t, `{"version":9}`))
	wantExitCode(t, err, exitInvalid)
	_, err = runCommand(t, "config", "patch", "--node", address, writeFile(t, `{"upsert":{}}`))
	wantExitCode(t, err, exitInvalid)
	if len(n.calls) != 0 {
		t.Errorf("requests: got %q, want none", n.calls)
	}
}

func TestConfigPutConflict(t *testing.T) {
	n, address := newFakeControlNode(t)
	n.statuses["PUT /-/configuration"] = http.StatusPreconditionFailed
	n.bodies["PUT /-/configuration"] = `{"error":"version 5 is current"}`
	_, err := runCommand(t, "config", "put", "--node", address, "--match", "4", writeFile(t, validDocument))
	wantExitCode(t, err, operator.ExitConflict)
	if err == nil || !strings.Contains(err.Error(), "version 5 is current") {
		t.Errorf("got %v", err)
	}
}

func TestConfigCheck(t *testing.T) {
	document := writeFile(t, validDocument)
	output, err := runCommand(t, "config", "check", document)
	if err != nil || output != "version 9 is valid: 1 routes, 1 services, 0 tenants\n" {
		t.Errorf("%q, %v", output, err)
	}
	output, err = runCommand(t, "config", "check", document, "--patch", writeFile(t, validPatch))
	if err != nil || output != "version 11 is valid: 0 routes, 1 services, 0 tenants\n" {
		t.Errorf("%q, %v", output, err)
	}
	_, err = runCommand(t, "config", "check", writeFile(t, `{"version":9}`))
	wantExitCode(t, err, exitInvalid)
	if err == nil || !strings.HasSuffix(err.Error(), "\n  services: it is missing\n  routes: it is missing") {
		t.Errorf("got %v", err)
	}
	output, err = runCommand(t, "config", "check", document, "--json", "--patch", writeFile(t, invalidPatch))
	wantExitCode(t, err, exitInvalid)
	if !strings.Contains(output, `"valid": false`) || !strings.Contains(output, `there is no service named`) {
		t.Errorf("%q", output)
	}
}

func TestRetireWaits(t *testing.T) {
	n, address := newFakeControlNode(t)
	n.bodies["POST /-/retire/s-1"] = `{"state":"in_progress"}`
	n.bodies["GET /-/retire/s-1"] = `{"state":"completed"}`
	output, err := runCommand(t, "retire", "s-1", "--node", address, "--duration", "10s")
	if err != nil || !strings.Contains(output, "s-1 holds nothing any more") {
		t.Errorf("retire: got output %q and error %v, want the message that s-1 holds nothing and no error", output, err)
	}
	output, err = runCommand(t, "retire", "s-1", "--node", address, "--no-wait", "--json")
	if err != nil || !strings.Contains(output, `"completed": false`) {
		t.Errorf("retire without waiting: got output %q and error %v, want completed to be false and no error", output, err)
	}
	n.statuses["POST /-/retire/s-2"] = http.StatusNotFound
	_, err = runCommand(t, "retire", "s-2", "--node", address)
	wantExitCode(t, err, operator.ExitNotFound)
}

func TestStatusTable(t *testing.T) {
	n, address := newFakeControlNode(t)
	n.bodies["GET /-/status"] = `{"node":"f-1","configuration":{"version":7,"routes":2},"chain":{"epoch":3,"replicas":["f-1","f-2"]},
		"placement":{"version":4,"partitions":[{"partition":0,"epoch":2,"stores":["s-1","s-2"]}]},
		"retirements":[{"node":"s-3","state":"in_progress"}],
		"members":[{"node":"f-1","role":"proxy","zone":"z","address":"10.0.0.1:1","state":"alive","leaving":true}]}`
	output, err := runCommand(t, "status", "--node", address)
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"version 7: 2 routes", "epoch 3: f-1 > f-2", "s-1 > s-2", "s-3: in_progress", "alive, leaving"} {
		if !strings.Contains(output, part) {
			t.Errorf("got %q, want it to contain %q", output, part)
		}
	}
	if output, err = runCommand(t, "status", "--node", address, "--json"); err != nil || !strings.Contains(output, `"epoch": 3`) {
		t.Errorf("%q, %v", output, err)
	}
}

func TestNodesDefaultToTheSeeds(t *testing.T) {
	t.Setenv("NICKELLINE_BOOT", "")
	_, err := runCommand(t, "status")
	if err == nil || !strings.Contains(err.Error(), "--node") {
		t.Errorf("got %v", err)
	}
	t.Setenv("NICKELLINE_BOOT", writeFile(t, validSettings))
	nodes, err := (&nodeFlags{}).nodes()
	if err != nil || !reflect.DeepEqual(nodes, []string{"10.1.0.7:8407", "10.2.0.42:8407"}) {
		t.Errorf("%v, %v", nodes, err)
	}
}

const validSettings = `
nodeName = "storage-1"
role = "store"
serves = ["storage"]
ipAddress = "10.1.0.11"
zone = "z"
internalPorts = [7660,7675]
seedNodes = ["10.1.0.7:8407","10.2.0.42:8407"]
dataDirectory = "/data/store"
[limits]
memoryMb = 344
fileDescriptors = 8200
`

func TestSettingsCheck(t *testing.T) {
	output, err := runCommand(t, "settings", "check", writeFile(t, validSettings))
	if err != nil || output != "storage-1 is valid for role store in zone z: serves storage, 2 seeds, data in /data/store\n" {
		t.Errorf("%q, %v", output, err)
	}
	output, err = runCommand(t, "settings", "check", "--json", writeFile(t, validSettings))
	if err != nil || !strings.Contains(output, `"NodeName": "storage-1"`) {
		t.Errorf("%q, %v", output, err)
	}
	golden.Text(t, "settings.json", output)
	_, err = runCommand(t, "settings", "check", writeFile(t, "nodeName = 5"))
	wantExitCode(t, err, exitInvalid)
	if _, err = runCommand(t, "settings", "check", "/nowhere/settings.toml"); err == nil {
		t.Error("check of a file that does not exist: got no error, want one")
	}
}

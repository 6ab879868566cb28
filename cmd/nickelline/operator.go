package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"github.com/ansel1/merry/v2"

	"nickelline/internal/operator"
	"nickelline/internal/settings"
)

// exitInvalid is the exit code of a command that finds a file invalid.
const exitInvalid = operator.ExitInvalid

// nodeFlags name the nodes that an operator's command calls.
type nodeFlags struct {
	Node    []string      `help:"Address (IP:port) of a node that serves the control API; may be repeated. Without one, the seeds of the settings file are called." env:"NICKELLINE_NODES"`
	Timeout time.Duration `help:"How long a call is tried, over all nodes." default:"30s"`
	Verbose bool          `short:"v" help:"Tell of each attempt that failed."`
}

// client returns a client for the nodes that the flags or the settings name.
func (f *nodeFlags) client() (*operator.Client, error) {
	nodes, err := f.nodes()
	if err != nil {
		return nil, err
	}
	return operator.New(operator.Options{Nodes: nodes, Timeout: f.Timeout, Notify: f.notify()})
}

func (f *nodeFlags) nodes() ([]string, error) {
	if len(f.Node) > 0 {
		return f.Node, nil
	}
	if os.Getenv(settings.PathVariable) == "" {
		return nil, merry.New("no node is named: use --node, NICKELLINE_NODES or " + settings.PathVariable)
	}
	loaded, err := settings.Load()
	if err != nil {
		return nil, err
	}
	var nodes []string
	for _, seed := range loaded.SeedNodes {
		nodes = append(nodes, seed.String())
	}
	return nodes, nil
}

func (f *nodeFlags) notify() func(node string, err error) {
	if !f.Verbose {
		return nil
	}
	return func(node string, err error) { fmt.Fprintf(os.Stderr, "%s: %v\n", node, err) }
}

// commandContext returns a context that ends when the user interrupts the command.
func commandContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt)
}

// readInput reads a file, or standard input if it is named "-".
func readInput(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

// printJSON writes a value as indented JSON.
func printJSON(output io.Writer, value any) error {
	encoder := json.NewEncoder(output)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// invalidFileError is the error of a file that was read and is invalid.
type invalidFileError struct{ error }

// ExitCode returns the exit code of a command that fails with the error.
func (e invalidFileError) ExitCode() int { return exitInvalid }

// Unwrap returns the error that was found in the file.
func (e invalidFileError) Unwrap() error { return e.error }

// invalidFile wraps the error of a file that was checked, so that the command exits with exitInvalid. The error of a file that
// could not be opened is returned unchanged.
func invalidFile(err error) error {
	var path *os.PathError
	if err == nil || errors.As(err, &path) {
		return err
	}
	return invalidFileError{err}
}

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/ansel1/merry/v2"

	"nickelline/internal/configuration"
	"nickelline/internal/operator"
)

// ConfigCommand reads, checks and changes the configuration.
type ConfigCommand struct {
	Get   configGet   `cmd:"" help:"Print the configuration in force."`
	Put   configPut   `cmd:"" help:"Replace the configuration by that in a file."`
	Patch configPatch `cmd:"" help:"Add, replace and remove the items that a file names."`
	Check configCheck `cmd:"" help:"Check a file without sending it."`
}

// configGet prints the configuration.
type configGet struct {
	nodeFlags
	Output string `short:"o" help:"Write to a file." type:"path"`
	Indent bool   `help:"Indent the JSON." negatable:"" default:"true"`
}

// Run carries out the command.
func (c *configGet) Run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, stop := commandContext()
	defer stop()
	body, err := client.Configuration(ctx)
	if err != nil {
		return err
	}
	if c.Output == "" {
		return c.print(os.Stdout, body)
	}
	file, err := os.Create(c.Output)
	if err != nil {
		return err
	}
	return errors.Join(c.print(file, body), file.Close())
}

func (c *configGet) print(output io.Writer, body []byte) error {
	if c.Indent {
		return printJSON(output, json.RawMessage(body))
	}
	_, err := fmt.Fprintln(output, string(body))
	return err
}

// changeFlags are the flags of the commands that change the configuration.
type changeFlags struct {
	nodeFlags
	File  string  `arg:"" help:"JSON file; - is standard input." type:"existingfile"`
	Match *uint64 `help:"Version that the order builds on. Without it, the one in force is asked for."`
	JSON  bool    `help:"Print the answer as JSON."`
}

// submit sends a change of the configuration and prints the version that it created.
func (f *changeFlags) submit(body []byte, send func(*operator.Client, context.Context, uint64, []byte) (uint64, error)) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	ctx, stop := commandContext()
	defer stop()
	base, err := f.baseVersion(ctx, client)
	if err != nil {
		return err
	}
	version, err := send(client, ctx, base, body)
	if err != nil {
		return err
	}
	if f.JSON {
		return printJSON(os.Stdout, map[string]uint64{"version": version})
	}
	fmt.Printf("version %d is in force (it was %d)\n", version, base)
	return nil
}

// baseVersion returns the version that the change builds on: the one in Match, otherwise the current one, or 0 if there is none.
func (f *changeFlags) baseVersion(ctx context.Context, client *operator.Client) (uint64, error) {
	if f.Match != nil {
		return *f.Match, nil
	}
	body, err := client.Configuration(ctx)
	var refused *operator.RefusedError
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	document, err := configuration.Parse(body)
	if err != nil {
		return 0, err
	}
	return document.Version(), nil
}

// configPut replaces the configuration.
type configPut struct{ changeFlags }

// Run carries out the command.
func (c *configPut) Run() error {
	body, err := readInput(c.File)
	if err != nil {
		return err
	}
	if _, err := compileDocument(body); err != nil {
		return invalidFile(listProblems(err))
	}
	return c.submit(body, (*operator.Client).Put)
}

// configPatch changes named items.
type configPatch struct{ changeFlags }

// Run carries out the command.
func (c *configPatch) Run() error {
	body, err := readInput(c.File)
	if err != nil {
		return err
	}
	if _, err := configuration.ParsePatch(body); err != nil {
		return invalidFile(err)
	}
	return c.submit(body, (*operator.Client).Patch)
}

// configCheck checks a file.
type configCheck struct {
	File  string `arg:"" help:"JSON file; - is standard input." type:"existingfile"`
	Patch string `help:"Check the configuration that results from a patch in this file." type:"existingfile" placeholder:"FILE"`
	JSON  bool   `help:"Print the result as JSON."`
}

// checkResult is the result of a check, as printed with --json.
type checkResult struct {
	Valid    bool     `json:"valid"`
	Problems []string `json:"problems,omitempty"`
	Version  uint64   `json:"version,omitempty"`
	Routes   int      `json:"routes"`
	Services int      `json:"services"`
	Tenants  int      `json:"tenants"`
}

// Run carries out the command.
func (c *configCheck) Run() error {
	snapshot, err := c.check()
	if c.JSON {
		return errors.Join(printJSON(os.Stdout, newCheckResult(snapshot, err)), invalidFile(err))
	}
	if err != nil {
		return invalidFile(listProblems(err))
	}
	fmt.Printf("version %d is valid: %d routes, %d services, %d tenants\n",
		snapshot.Version, len(snapshot.Routes), len(snapshot.Services), len(snapshot.Tenants))
	return nil
}

// listProblems returns an error that lists the problems of a document, one per line. It returns err itself if there is only one.
func listProblems(err error) error {
	problems := configuration.Problems(err)
	if len(problems) < 2 {
		return err
	}
	return merry.New("the configuration is invalid:\n  " + strings.Join(problems, "\n  "))
}

func (c *configCheck) check() (*configuration.Snapshot, error) {
	body, err := readInput(c.File)
	if err != nil {
		return nil, err
	}
	if c.Patch == "" {
		return compileDocument(body)
	}
	patch, err := readInput(c.Patch)
	if err != nil {
		return nil, err
	}
	document, err := configuration.Parse(body)
	if err != nil {
		return nil, err
	}
	patched, err := document.Patch(patch)
	if err != nil {
		return nil, err
	}
	_, snapshot, err := configuration.Read(patched.Encode())
	return snapshot, err
}

func compileDocument(body []byte) (*configuration.Snapshot, error) {
	_, snapshot, err := configuration.Read(body)
	return snapshot, err
}

func newCheckResult(snapshot *configuration.Snapshot, err error) checkResult {
	if err != nil {
		return checkResult{Problems: configuration.Problems(err)}
	}
	return checkResult{
		Valid:    true,
		Version:  snapshot.Version,
		Routes:   len(snapshot.Routes),
		Services: len(snapshot.Services),
		Tenants:  len(snapshot.Tenants),
	}
}

package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"nickelline/internal/operator"
)

// pollInterval is the time between two requests for the state of a retirement.
const pollInterval = time.Second

// RetireCommand empties a store and waits until it holds nothing.
type RetireCommand struct {
	nodeFlags
	Store    string        `arg:"" help:"Name of the machine, as in its settings (nodeName)."`
	Duration time.Duration `help:"How long emptying the store may take." default:"5m"`
	Wait     bool          `help:"Wait until the store is empty." negatable:"" default:"true"`
	JSON     bool          `help:"Print the result as JSON."`
}

// retireResult is the result of the command, as printed with --json.
type retireResult struct {
	Node      string  `json:"node"`
	Completed bool    `json:"completed"`
	Seconds   float64 `json:"seconds"`
}

// Run carries out the command.
func (c *RetireCommand) Run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, stop := commandContext()
	defer stop()
	begin := time.Now()
	if err := client.Retire(ctx, c.Store, c.Duration); err != nil {
		return err
	}
	c.printProgress("%s is being emptied", c.Store)
	completed := false
	if c.Wait {
		if completed, err = c.wait(ctx, client); err != nil {
			return err
		}
	}
	return c.printResult(completed, time.Since(begin))
}

// wait polls until the store is empty, and returns an error if it is not empty after Duration.
func (c *RetireCommand) wait(ctx context.Context, client *operator.Client) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	began := time.Now()
	for {
		completed, err := client.IsRetired(ctx, c.Store)
		if completed || err != nil {
			return completed, err
		}
		c.printProgress("in progress for %v", time.Since(began).Round(time.Second))
		select {
		case <-ctx.Done():
			return false, merry.Errorf("%s is not empty after %v; the retirement continues", c.Store, c.Duration)
		case <-ticker.C:
		}
	}
}

// printProgress prints a message to standard error, unless the result is printed as JSON.
func (c *RetireCommand) printProgress(format string, arguments ...any) {
	if !c.JSON {
		fmt.Fprintf(os.Stderr, format+"\n", arguments...)
	}
}

func (c *RetireCommand) printResult(completed bool, taken time.Duration) error {
	if c.JSON {
		return printJSON(os.Stdout, retireResult{Node: c.Store, Completed: completed, Seconds: taken.Seconds()})
	}
	if completed {
		fmt.Printf("%s holds nothing any more: the machine may be taken away (%v)\n", c.Store, taken.Round(time.Second))
	}
	return nil
}

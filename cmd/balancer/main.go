// Command balancer is a load-balancing HTTP proxy node: the decisions of package decide, on the network of package node.
//
// It reads its configuration from the JSON file that GW_CONFIG names. SIGHUP reads the file again; SIGTERM or an interrupt
// drains the node.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"nickelline/internal/node"
)

const (
	// memoryShare is the part of the memory limit for Go's heap and stacks; the kernel's buffers and the program have the
	// rest.
	memoryShare = 0.6
	// gcPercent: the heap is small, and fewer collections leave the one core to requests.
	gcPercent = 400
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "balancer:", err)
		os.Exit(1)
	}
}

func run() error {
	reload := make(chan os.Signal, 1) // caught first of all: a SIGHUP that nothing catches ends the process
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	c, err := node.LoadConfig(os.Getenv)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(c.Limits.MemoryMB) * (1 << 20)))
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Limits.Cores))))
	return node.Run(ctx, c, reload, slog.New(slog.NewTextHandler(os.Stderr, nil)))
}

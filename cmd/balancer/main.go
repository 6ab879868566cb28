// Command balancer is a load-balancing HTTP proxy node. Package decide makes its decisions, and package node
// implements its network side.
//
// It reads its configuration from the JSON file that GW_CONFIG names. On SIGHUP it reads the file again; on SIGTERM or
// an interrupt it drains and exits.
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

	_ "nickelline/internal/earlyhangup"
	"nickelline/internal/node"
)

const (
	// memoryShare is the fraction of the memory limit for the Go runtime's heap and stacks. The rest is for kernel
	// buffers and the binary.
	memoryShare = 0.6
	// gcPercent is the GOGC value. It is high because the heap is small and fewer collections leave the single core to
	// requests.
	gcPercent = 400
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "balancer:", err)
		os.Exit(1)
	}
}

func run() error {
	reload := make(chan os.Signal, 1)
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

package main

import (
	"math"
	"runtime"
	"runtime/debug"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"nickelline/internal/settings"
)

const (
	memoryLimitFraction = 0.6 // of MemoryMB, for Go's heap and stacks; the rest is for kernel buffers and the program itself
	gcPercent           = 200 // the heap is small, so collecting less often leaves more CPU time for requests
)

// process holds the settings and the logger of a process of any role.
type process struct {
	settings *settings.Settings
	log      *zap.Logger
}

// newProcess loads the settings and applies the limits on memory and CPU cores that they define.
func newProcess() (*process, error) {
	loaded, err := settings.Load()
	if err != nil {
		return nil, err
	}
	log, err := newLogger(loaded)
	if err != nil {
		return nil, err
	}
	log.Info("process has started and catches signals")
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(loaded.Limits.MemoryMB) * (1 << 20)))
	runtime.GOMAXPROCS(max(1, int(math.Ceil(loaded.Limits.CPUCores))))
	return &process{settings: loaded, log: log}, nil
}

// newLogger returns a logger that writes JSON lines, each with the node's name, to standard error.
func newLogger(loaded *settings.Settings) (*zap.Logger, error) {
	configuration := zap.NewProductionConfig()
	configuration.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	configuration.DisableStacktrace = true
	log, err := configuration.Build()
	if err != nil {
		return nil, err
	}
	return log.With(zap.String("node", loaded.NodeName)), nil
}

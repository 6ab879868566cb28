// Command standin runs stand-ins for backends and for the platform's list of them, for trials of the serving tier on one
// machine. On SIGTERM or SIGINT the list shows the backends as draining for a while before they stop.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"nickelline/internal/standin"
)

const headerTimeout = 5 * time.Second

// options holds the command-line flags.
type options struct {
	List      netip.AddrPort `required:"" help:"Address of the platform's list."`
	PageSize  int            `default:"50" help:"Backends on a page of the list."`
	ListRate  float64        `default:"42" help:"Calls a second that the list takes; 0 for any number."`
	Backend   []string       `required:"" sep:"none" placeholder:"SERVICE,ZONE,ADDRESS[,SLOTS]" help:"A backend; may be repeated."`
	Health    string         `default:"/health" help:"Path of the backends' health checks."`
	WorkTime  time.Duration  `default:"5ms" help:"Time of a request, or up to its first token."`
	TokenTime time.Duration  `default:"2ms" help:"Time between tokens."`
	Drain     time.Duration  `default:"3s" help:"For how long backends drain after SIGTERM."`
}

const defaultSlots = 8

func main() {
	var o options
	command := kong.Parse(&o, kong.Description("Stand-ins of backends and of the platform's list of them."))
	log, err := zap.NewProduction()
	command.FatalIfErrorf(err)
	command.FatalIfErrorf(run(&o, log))
}

// run serves until a server fails, or until SIGTERM or SIGINT arrives and the backends have drained. It returns the
// error of the server that failed.
func run(o *options, log *zap.Logger) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	var backends []*standin.Backend
	var servers []*http.Server
	var identifiers []string
	for i, text := range o.Backend {
		b, err := parseBackend(text)
		if err != nil {
			return err
		}
		b.Identifier = fmt.Sprintf("i-%08x", i+1)
		b.HealthPath, b.WorkTime, b.TokenTime = o.Health, o.WorkTime, o.TokenTime
		backend := standin.NewBackend(b)
		backends = append(backends, backend)
		identifiers = append(identifiers, b.Identifier)
		servers = append(servers, newServer(b.Address, backend))
	}
	list := standin.NewList(o.PageSize, o.ListRate, backends...)
	servers = append(servers, newServer(o.List, list))
	failed := make(chan error, len(servers))
	var running sync.WaitGroup
	for _, s := range servers {
		running.Go(func() {
			if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
				failed <- merry.Prepend(err, s.Addr)
			}
		})
	}
	log.Info("serving", zap.Stringer("list", o.List), zap.Int("backends", len(backends)))
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
		for i, b := range backends {
			list.SetState(identifiers[i], standin.StateDraining)
			b.Drain()
		}
		log.Info("draining")
		time.Sleep(o.Drain)
	}
	for _, s := range servers {
		s.Close()
	}
	running.Wait()
	return err
}

func newServer(address netip.AddrPort, handler http.Handler) *http.Server {
	return &http.Server{Addr: address.String(), Handler: handler, ReadHeaderTimeout: headerTimeout}
}

// parseBackend parses a backend of the form SERVICE,ZONE,ADDRESS[,SLOTS].
func parseBackend(text string) (standin.Options, error) {
	fields := strings.Split(text, ",")
	if len(fields) < 3 || len(fields) > 4 || fields[0] == "" || fields[1] == "" {
		return standin.Options{}, merry.Errorf("backend %q is not of the form SERVICE,ZONE,ADDRESS[,SLOTS]", text)
	}
	address, err := netip.ParseAddrPort(fields[2])
	if err != nil {
		return standin.Options{}, merry.Prependf(err, "backend %q", text)
	}
	slots := defaultSlots
	if len(fields) == 4 {
		slots, err = strconv.Atoi(fields[3])
		if err != nil || slots < 1 {
			return standin.Options{}, merry.Errorf("backend %q: SLOTS is not a positive integer", text)
		}
	}
	return standin.Options{Service: fields[0], Zone: fields[1], Address: address, Slots: slots}, nil
}

// Command nickelline runs the serving tier in one of the roles proxy, control and store, and has the operator's commands.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	_ "nickelline/internal/earlyhangup"
)

// commandLine is the whole command line; each field is a subcommand.
type commandLine struct {
	Proxy    ProxyCommand    `cmd:"" help:"Serve clients: route, limit and forward their requests."`
	Control  ControlCommand  `cmd:"" help:"Keep the configuration and the placement of batch jobs."`
	Store    StoreCommand    `cmd:"" help:"Keep and run batch jobs."`
	Config   ConfigCommand   `cmd:"" help:"Read, check and change the configuration."`
	Retire   RetireCommand   `cmd:"" help:"Empty a store and wait until it holds nothing."`
	Status   StatusCommand   `cmd:"" help:"Show members, replicas and versions."`
	Settings SettingsCommand `cmd:"" help:"Check a process's settings file."`
}

// signals receives the caught signals. They are caught before anything else, since an uncaught SIGHUP or SIGTERM would kill
// the process. Package earlyhangup ignores a SIGHUP that arrives before main.
type signals struct {
	terminate chan os.Signal
	reload    chan os.Signal
}

func catchSignals() *signals {
	s := &signals{terminate: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.terminate, syscall.SIGTERM, os.Interrupt)
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// newParser returns the parser of the command line.
func newParser(line *commandLine, options ...kong.Option) (*kong.Kong, error) {
	return kong.New(line, append([]kong.Option{
		kong.Name("nickelline"),
		kong.Description("A serving tier for HTTP with a batch interface."),
		kong.UsageOnError(),
	}, options...)...)
}

func main() {
	caught := catchSignals()
	var line commandLine
	parser, err := newParser(&line)
	if err != nil {
		panic(err) // the definition of the command line is invalid, which its tests detect
	}
	parsed, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	parser.FatalIfErrorf(parsed.Run(caught))
}

// Package settings reads and checks the settings file of a process. The platform provides the
// file: it describes the machine, its addresses, the resource limits and the bounds that the deployment must meet.
package settings

import (
	"errors"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/pelletier/go-toml/v2"

	"nickelline/internal/metrics"
)

// PathVariable is the environment variable that names the settings file.
const PathVariable = "NICKELLINE_BOOT"

// defaultHeartbeat is the heartbeat interval if the settings name none.
const defaultHeartbeat = time.Second

// Services that a role may offer to callers outside the system.
const (
	ServesFrontend     = "frontend"
	ServesControlPlane = "control_plane"
	ServesStorage      = "storage"
)

// Offsets of the roles' internal ports from the first port of InternalPorts. They differ because two roles may share a
// machine.
const (
	controlPortOffset = iota
	proxyPortOffset
	storePortOffset
	rolePortCount
)

// Settings holds the settings that a process starts with. It is immutable: reading the file again returns a new value.
type Settings struct {
	NodeName        string            `toml:"nodeName"`
	Role            string            `toml:"role"`
	Serves          []string          `toml:"serves"`
	IP              netip.Addr        `toml:"ipAddress"`
	Zone            string            `toml:"zone"`
	Region          string            `toml:"region"`
	InternalPorts   []uint16          `toml:"internalPorts"`
	SeedNodes       []netip.AddrPort  `toml:"seedNodes"`
	InitialStart    bool              `toml:"initialStart"`
	CountsForQuorum bool              `toml:"countsForQuorum" json:"CountsForLoss"`
	DataDirectory   string            `toml:"dataDirectory"`
	HeartbeatMs     int               `toml:"heartbeatIntervalMs"`
	Zones           map[string]string `toml:"zones"`
	Listen          Listen            `toml:"listenAddresses"`
	Limits          Limits            `toml:"limits"`
	FaultTolerance  FaultTolerance    `toml:"faultTolerance"`
	Bounds          Bounds            `toml:"bounds"`
	CloudAPI        CloudAPI          `toml:"cloudApi"`
	// Metrics is the endpoint of the process's metrics, as PORT/PATH; empty: metrics are not served.
	Metrics string `toml:"metrics"`
}

// Listen holds the addresses that callers outside the system use. The address of an interface that the role does not
// serve is the zero value, which is not valid.
type Listen struct {
	Frontend     netip.AddrPort `toml:"frontend"`
	Readiness    netip.AddrPort `toml:"readiness"`
	ControlPlane netip.AddrPort `toml:"controlPlane"`
}

// Limits holds the resources that the process may use.
type Limits struct {
	CPUFraction     float64 `toml:"cpuFraction"`
	CPUCores        float64 `toml:"cpuCores"`
	MemoryMB        int     `toml:"memoryMb"`
	FileDescriptors int     `toml:"fileDescriptors"`
	LinkMbps        float64 `toml:"linkMbps"`
	DiskMB          int     `toml:"diskMb"`
}

// FaultTolerance holds the numbers of machines with a disk, of zones and of regions that may be lost at the same time.
type FaultTolerance struct {
	Machines int `toml:"machines"`
	Zones    int `toml:"zones"`
	Regions  int `toml:"regions"`
}

// Losses returns how many machines with a disk may be lost at the same time: a zone or a region counts as one machine.
func (t FaultTolerance) Losses() int { return max(t.Machines, t.Zones, t.Regions) }

// Bounds holds the limits on times and amounts that the deployment must meet. The suffix of a name is the unit: S for
// seconds, Ms for milliseconds.
type Bounds struct {
	SeedStalenessS      float64 `toml:"seedStalenessS"`
	AddressReuseS       float64 `toml:"addressReuseS"`
	ContactWindowMs     float64 `toml:"contactWindowMs"`
	AcknowledgeMs       float64 `toml:"acknowledgeMs"`
	CatchUpS            float64 `toml:"catchUpS"`
	DrainTimeoutMs      float64 `toml:"drainTimeoutMs"`
	GracePeriodS        float64 `toml:"gracePeriodS"`
	LossSlackMs         float64 `toml:"lossSlackMs"`
	ConfigApplyMs       float64 `toml:"configApplyMs"`
	DowngradeSlackMs    float64 `toml:"downgradeSlackMs"`
	UnsettledStretchMs  float64 `toml:"unsettledStretchMs"`
	RevocationClosed    bool    `toml:"revocationClosed"`
	RevocationMs        float64 `toml:"revocationMs"`
	QuotaWindowS        float64 `toml:"quotaWindowS"`
	QuotaOvershoot      float64 `toml:"quotaOvershoot"`
	QuotaAllowance      float64 `toml:"quotaAllowance"`
	RecoveryS           float64 `toml:"recoveryS"`
	CompletionDeadlineS float64 `toml:"completionDeadlineS"`
	StatusIntervalS     float64 `toml:"statusIntervalS"`
	CancellationMs      float64 `toml:"cancellationMs"`
	SettlementMs        float64 `toml:"settlementMs"`
}

// CloudAPI holds the address at which the platform lists the backends, and the rate limit of calls, in calls per
// second, that all nodes share.
type CloudAPI struct {
	Address  netip.AddrPort `toml:"address"`
	RatePerS float64        `toml:"ratePerS"`
	MaxLagMs float64        `toml:"maxLagMs"`
}

// Milliseconds converts a bound given in milliseconds.
func Milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// Seconds converts a bound given in seconds.
func Seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// Load reads and checks the file that PathVariable names.
func Load() (*Settings, error) {
	path := os.Getenv(PathVariable)
	if path == "" {
		return nil, merry.Errorf("environment variable %s is not set: it must name the settings file", PathVariable)
	}
	return ReadFile(path)
}

// ReadFile reads and checks a settings file.
func ReadFile(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Prepend(err, "read settings file")
	}
	s, err := Parse(text)
	if err != nil {
		return nil, merry.Prepend(err, path)
	}
	return s, nil
}

// Parse reads settings from TOML and checks them. Unknown keys are ignored. An error is one line that names the key,
// or the line that is not valid TOML.
func Parse(text []byte) (*Settings, error) {
	s := &Settings{}
	if err := toml.Unmarshal(text, s); err != nil {
		var decode *toml.DecodeError
		if errors.As(err, &decode) {
			row, _ := decode.Position()
			return nil, merry.Errorf("line %d, key %v: %s", row, decode.Key(), decode.Error())
		}
		return nil, err
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) check() error {
	switch {
	case s.NodeName == "":
		return merry.New("nodeName is missing")
	case !s.IP.IsValid():
		return merry.New("ipAddress is missing")
	case s.Zone == "":
		return merry.New("zone is missing")
	case len(s.InternalPorts) != 2:
		return merry.Errorf("internalPorts holds %d numbers, want two: the first and the last port", len(s.InternalPorts))
	case int(s.InternalPorts[1])-int(s.InternalPorts[0]) < rolePortCount-1:
		return merry.Errorf("internalPorts must span at least %d ports", rolePortCount)
	case len(s.SeedNodes) == 0:
		return merry.New("seedNodes is empty")
	case s.Limits.MemoryMB <= 0:
		return merry.New("limits.memoryMb must be above 0")
	case s.Limits.FileDescriptors <= 0:
		return merry.New("limits.fileDescriptors must be above 0")
	case s.FaultTolerance.Machines < 0:
		return merry.New("faultTolerance.machines must not be negative")
	case s.Metrics != "" && !isEndpoint(s.Metrics):
		return merry.Errorf("metrics is %q, want PORT/PATH", s.Metrics)
	case s.Has(ServesFrontend) && !s.Listen.Frontend.IsValid():
		return merry.New("listenAddresses.frontend is missing though the role serves frontend")
	case s.Has(ServesControlPlane) && !s.Listen.ControlPlane.IsValid():
		return merry.New("listenAddresses.controlPlane is missing though the role serves control_plane")
	case s.Has(ServesStorage) && s.DataDirectory == "":
		return merry.New("dataDirectory is missing though the role serves storage")
	}
	return nil
}

func isEndpoint(text string) bool {
	_, err := metrics.ParseEndpoint(text)
	return err == nil
}

// Heartbeat returns the interval at which processes exchange state by gossip, defaultHeartbeat if the settings name
// none.
func (s *Settings) Heartbeat() time.Duration {
	if s.HeartbeatMs <= 0 {
		return defaultHeartbeat
	}
	return Milliseconds(float64(s.HeartbeatMs))
}

// Has reports whether the role serves the named service, such as ServesFrontend.
func (s *Settings) Has(service string) bool { return slices.Contains(s.Serves, service) }

// ControlInternalAddress returns the address at which the control role of a machine listens for other nodes.
func (s *Settings) ControlInternalAddress(machine netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(machine, s.InternalPorts[0]+controlPortOffset)
}

// ProxyInternalAddress returns the address at which the proxy role of this machine listens for other nodes.
func (s *Settings) ProxyInternalAddress() netip.AddrPort {
	return netip.AddrPortFrom(s.IP, s.InternalPorts[0]+proxyPortOffset)
}

// StoreInternalAddress returns the address at which the store role of this machine listens for other nodes.
func (s *Settings) StoreInternalAddress() netip.AddrPort {
	return netip.AddrPortFrom(s.IP, s.InternalPorts[0]+storePortOffset)
}

// SeedInternalAddresses returns the internal addresses of the control nodes that SeedNodes lists.
func (s *Settings) SeedInternalAddresses() []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, seed := range s.SeedNodes {
		seeds = append(seeds, s.ControlInternalAddress(seed.Addr()))
	}
	return seeds
}

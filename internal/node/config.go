package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"nickelline/decide"
	"nickelline/internal/wire"
)

// Limits are the resources that the platform gives the node's process.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // file descriptors
}

// Config is the configuration of a node.
type Config struct {
	Name      string
	Listen    netip.AddrPort // for clients
	Discovery netip.AddrPort
	Seed      int64
	Limits    Limits
	// PeerListen, PeersAll and Peers are for messages between nodes. PeerListen and PeersAll are invalid if not set.
	PeerListen, PeersAll netip.AddrPort
	Peers                []netip.AddrPort
	KnownBackends        backendList // the last list of backends that this node had
	Settings             decide.Settings

	reload func() (*Config, error)
}

// The smallest limits with which a node can run, and the defaults for limits that the file does not set.
const (
	minSockets      = 64
	minMemoryMB     = 32
	defaultSockets  = 1024
	defaultMemoryMB = 192
)

// LoadConfig reads the file that GW_CONFIG names. GW_NAME, GW_LISTEN and GW_DISCOVERY, if set, override its values.
func LoadConfig(getenv func(string) string) (*Config, error) {
	c, err := readConfig(getenv)
	if err != nil {
		return nil, err
	}
	c.reload = func() (*Config, error) {
		return readConfig(func(name string) string {
			if name == "GW_DISCOVERY" { // this variable still has the address from the start; a new address is in the file
				return ""
			}
			return getenv(name)
		})
	}
	return c, nil
}

// configJSON is the JSON form of the configuration file.
type configJSON struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Discovery  string          `json:"discovery"`
	Seed       string          `json:"seed"` // hexadecimal
	Limits     Limits          `json:"limits"`
	PeerListen string          `json:"peer_listen"`
	Peers      []string        `json:"peers"`
	PeersAll   string          `json:"peers_all"`
	Known      json.RawMessage `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

// readConfig reads the file and the environment. An error about the content of the file contains its path.
func readConfig(getenv func(string) string) (*Config, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return nil, errors.New("GW_CONFIG is not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	var in configJSON
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	in.override(getenv)
	c, err := in.config()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// override replaces values of the file by those that the environment sets.
func (in *configJSON) override(getenv func(string) string) {
	for variable, field := range map[string]*string{
		"GW_NAME":      &in.Name,
		"GW_LISTEN":    &in.Listen,
		"GW_DISCOVERY": &in.Discovery,
	} {
		if value := getenv(variable); value != "" {
			*field = value
		}
	}
}

// config validates the fields in order and returns the configuration.
func (in *configJSON) config() (*Config, error) {
	if in.Name == "" {
		return nil, errors.New("name is missing")
	}
	c := &Config{Name: in.Name, Limits: in.Limits}
	if err := in.parseAddresses(c); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(in.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	c.Seed = int64(seed)
	if err := c.Limits.applyDefaults(); err != nil {
		return nil, err
	}
	if in.Known != nil && string(in.Known) != "null" { // null: the node has never had a list
		if c.KnownBackends, err = decodeList(in.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	c.Settings, err = in.settings()
	return c, err
}

func (in *configJSON) parseAddresses(c *Config) error {
	for _, address := range []struct {
		name, text string
		target     *netip.AddrPort
		required   bool
	}{
		{"listen", in.Listen, &c.Listen, true},
		{"discovery", in.Discovery, &c.Discovery, true},
		{"peer_listen", in.PeerListen, &c.PeerListen, false},
		{"peers_all", in.PeersAll, &c.PeersAll, false},
	} {
		if address.text == "" && !address.required {
			continue
		}
		parsed, err := netip.ParseAddrPort(address.text)
		if err != nil {
			return fmt.Errorf("%s: %w", address.name, err)
		}
		*address.target = parsed
	}
	for i, text := range in.Peers {
		peer, err := netip.ParseAddrPort(text)
		if err != nil {
			return fmt.Errorf("peers, entry %d: %w", i, err)
		}
		c.Peers = append(c.Peers, peer)
	}
	return nil
}

// applyDefaults sets missing limits to their defaults. It returns an error if the node cannot run within the limits.
func (l *Limits) applyDefaults() error {
	if l.Sockets == 0 {
		l.Sockets = defaultSockets
	}
	if l.MemoryMB == 0 {
		l.MemoryMB = defaultMemoryMB
	}
	if l.Sockets < minSockets || l.MemoryMB < minMemoryMB || l.Cores < 0 {
		return fmt.Errorf("limits: want at least %d sockets and %d MB of memory, got %+v", minSockets, minMemoryMB, *l)
	}
	return nil
}

func (in *configJSON) settings() (decide.Settings, error) {
	if in.Settings == nil {
		return decide.Settings{}, errors.New("settings are missing")
	}
	settings, err := wire.DecodeSettings(in.Settings)
	if err != nil {
		return decide.Settings{}, fmt.Errorf("settings: %w", err)
	}
	if len(settings.Classes) == 0 || settings.ConnectTimeout <= 0 {
		return decide.Settings{}, errors.New("settings: classes or caps.connect_timeout_ns missing")
	}
	return settings, nil
}

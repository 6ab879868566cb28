package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
)

// instance is an entry of the platform's list.
type instance struct {
	Identifier      string  `json:"identifier"`
	Service         string  `json:"service"`
	Address         string  `json:"address"`
	Zone            string  `json:"zone"`
	Version         string  `json:"version"`
	CapacitySlots   int     `json:"capacitySlots"`
	State           string  `json:"state"`
	ColdRemainingMs int     `json:"coldRemainingMs"`
	PipelineStage   string  `json:"pipelineStage,omitempty"`
	Models          []model `json:"models,omitempty"`
}

type model struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// platform is the stand-in of the platform's list.
type platform struct {
	mutex     sync.Mutex
	instances []instance
}

func (p *platform) serve(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, p) }()
	return nil
}

func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instances" {
		http.NotFound(w, r)
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	listed := []instance{}
	for _, i := range p.instances {
		if zone := r.URL.Query().Get("zone"); zone == "" || zone == i.Zone {
			listed = append(listed, i)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": listed, "nextToken": nil})
}

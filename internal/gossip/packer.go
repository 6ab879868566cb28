package gossip

import (
	"sync"

	"nickelline/internal/delta"
)

// packer compresses whole values. It caches the newest version of each topic, which is thus compressed once for all
// members that request it. The zero value is ready to use.
type packer struct {
	mutex  sync.Mutex
	packed [topicCount]packedValue
}

type packedValue struct {
	version Version
	frame   []byte
}

// pack returns the compressed value. It caches the newest version of each topic.
func (p *packer) pack(v Value) ([]byte, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	cached := &p.packed[v.Topic]
	if cached.frame != nil && cached.version == v.Version {
		return cached.frame, nil
	}
	frame, err := delta.Compress(v.Data)
	if err != nil {
		return nil, err
	}
	if cached.frame == nil || v.Version.newerThan(cached.version) {
		*cached = packedValue{version: v.Version, frame: frame}
	}
	return frame, nil
}

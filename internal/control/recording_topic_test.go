package control

import (
	"context"
	"sync"
	"testing"
	"time"
)

// recordingTopic records the latest published and certified versions.
type recordingTopic struct {
	mutex     sync.Mutex
	published uint64
	certified uint64
	changed   chan struct{}
}

func newRecordingTopic() *recordingTopic { return &recordingTopic{changed: make(chan struct{}, 1)} }

func (r *recordingTopic) Publish(sequence uint64, _ []byte) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.published = max(r.published, sequence)
}

func (r *recordingTopic) Certify(sequence uint64, _ time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.certified = max(r.certified, sequence)
	signal(r.changed)
}

// wait returns once a version or a later one is certified. Each certified version must have been published before.
func (r *recordingTopic) wait(t *testing.T, sequence uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	for {
		r.mutex.Lock()
		certified, published := r.certified, r.published
		r.mutex.Unlock()
		if certified >= sequence {
			if published < sequence {
				t.Errorf("got version %d certified, but only %d published", certified, published)
			}
			return
		}
		select {
		case <-ctx.Done():
			t.Fatalf("got version %d certified, want %d", certified, sequence)
		case <-r.changed:
		}
	}
}

package batch

import (
	"bytes"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

func randomText(random *rand.Rand) string {
	return strings.Repeat("x", random.IntN(40)*random.IntN(40))
}

func randomData(random *rand.Rand) []byte { return bytes.Repeat([]byte("d"), 1+random.IntN(3000)) }

func randomKey(random *rand.Rand) Key {
	return Key{Tenant: randomText(random), Identifier: randomText(random)}
}

func randomJob(random *rand.Rand) Job {
	job := Job{Key: randomKey(random), Route: RouteRef{Name: randomText(random), Host: randomText(random), Prefix: randomText(random)}, Items: []Item{}}
	for range random.IntN(20) {
		item := Item{Identifier: randomText(random), Path: randomText(random), Body: randomData(random), Tokens: random.Int64()}
		for range random.IntN(20) {
			item.Headers = append(item.Headers, Header{Name: randomText(random), Value: randomText(random)})
		}
		job.Items = append(job.Items, item)
	}
	return job
}

func randomCommand(random *rand.Rand) *Command {
	switch random.IntN(5) {
	case 0:
		key := randomKey(random)
		return &Command{End: &key}
	case 1:
		c := &Command{Append: []Result{}}
		for range random.IntN(20) {
			c.Append = append(c.Append, Result{Key: randomKey(random), State: Completed, Content: randomData(random)})
		}
		return c
	case 2:
		c := &Command{Drop: []Key{}}
		for range random.IntN(20) {
			c.Drop = append(c.Drop, randomKey(random))
		}
		return c
	case 3:
		c := &Command{Fail: []Failure{}}
		for range random.IntN(20) {
			c.Fail = append(c.Fail, Failure{Key: randomKey(random), Index: random.Uint32(), ServerErrors: random.Uint32()})
		}
		return c
	}
	return &Command{Submit: &Submit{Job: randomJob(random), MaxQueuedTokens: random.Int64()}}
}

// TestSizesAreUpperBounds encodes random commands of each kind. Encoding fails if the bound of a size is too small.
func TestSizesAreUpperBounds(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	m := New(nil)
	for range 600 {
		command := randomCommand(random)
		data, err := EncodeCommand(command)
		if err != nil {
			t.Fatalf("encode %+v: %v", command, err)
		}
		decoded, err := DecodeCommand(data)
		if err != nil || !reflect.DeepEqual(decoded, command) {
			t.Fatalf("decoded: got a different command (%v), want %+v", err, command)
		}
		if command.Submit != nil {
			command.Submit.MaxQueuedTokens = 0
		}
		m.Execute(command)
	}
	snapshot := m.Snapshot()
	restored := New(nil)
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(restored.Snapshot(), snapshot) {
		t.Error("restored state: got a different one, want the one that was saved")
	}
}

package batch

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

const (
	benchmarkBodySize    = 2300
	benchmarkContentSize = 5200
)

// benchmarkJob returns a job whose items share the first third of their bodies with some of the others. The rest of the bodies
// is random.
func benchmarkJob(key Key, items int) Job {
	random := rand.New(rand.NewPCG(1, 2))
	job := testJob(key, items)
	for i := range job.Items {
		body := make([]byte, benchmarkBodySize)
		for at := range body {
			body[at] = byte(random.Uint32())
		}
		copy(body, job.Items[i%10].Body[:min(benchmarkBodySize/3, len(job.Items[i%10].Body))])
		job.Items[i].Body = body
	}
	return job
}

// benchmarkText returns random lowercase letters.
func benchmarkText() string {
	random := rand.New(rand.NewPCG(1, 2))
	text := make([]byte, benchmarkContentSize)
	for at := range text {
		text[at] = 'a' + byte(random.IntN(26))
	}
	return string(text)
}

func benchmarkResults(key Key, count int) []Result {
	content := benchmarkText()
	results := make([]Result, 0, count)
	for i := range count {
		results = append(results, completed(key, uint32(i), content))
	}
	return results
}

func encodeCommand(b *testing.B, c *Command) []byte {
	data, err := EncodeCommand(c)
	if err != nil {
		b.Fatal(err)
	}
	return data
}

func reportItems(b *testing.B, items, size int) {
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*items), "ns/item")
	b.ReportMetric(float64(size)/float64(items), "bytes/item")
}

func BenchmarkSubmit(b *testing.B) {
	for _, items := range []int{60, 200} {
		b.Run(fmt.Sprint(items), func(b *testing.B) {
			command := &Command{Submit: &Submit{Job: benchmarkJob(testKey(1), items)}}
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				data := encodeCommand(b, command)
				size = len(data)
				New(nil).Apply(1, data)
			}
			reportItems(b, items, size)
		})
	}
}

func BenchmarkAppend60(b *testing.B) {
	const items = 60
	job := benchmarkJob(testKey(1), items)
	results := &Command{Append: benchmarkResults(job.Key, items)}
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		m := New(nil)
		m.Execute(&Command{Submit: &Submit{Job: job}})
		data := encodeCommand(b, results)
		size = len(data)
		m.Apply(2, data)
	}
	reportItems(b, items, size)
}

func BenchmarkSnapshot10000(b *testing.B) {
	const jobs, items = 100, 100
	m := New(nil)
	for i := range jobs {
		job := benchmarkJob(testKey(i), items)
		m.Execute(&Command{Submit: &Submit{Job: job}})
		m.Execute(&Command{Append: benchmarkResults(job.Key, items/2)})
	}
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		size = len(m.Snapshot())
	}
	reportItems(b, jobs*items, size)
}

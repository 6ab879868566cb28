package configuration

import (
	"fmt"
	"strings"
	"testing"
)

// largeDocument returns the text of a document with size routes and size tenants.
func largeDocument(size int) string {
	var routes, tenants []string
	for i := range size {
		routes = append(routes, routeText(fmt.Sprintf(`{"name":"r-%d","hostname":"h%d.example","pathPrefix":"/p%d/"}`, i, i%8, i)))
		tenants = append(tenants, fmt.Sprintf(`{"name":"t-%d","apiKeys":["key-%d-a","key-%d-b"],"ratePerS":81,"burstSize":81}`, i, i, i))
	}
	return documentText(strings.Join(routes, ","), strings.Join(tenants, ","))
}

var benchmarkSizes = []int{100, 1_000, 10_000}

func BenchmarkParseAndCompile(b *testing.B) {
	for _, size := range benchmarkSizes {
		text := []byte(largeDocument(size))
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			b.ReportAllocs()
			for b.Loop() {
				document, err := Parse(text)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := Compile(document); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkMatch(b *testing.B) {
	for _, size := range benchmarkSizes {
		s := mustCompile(b, largeDocument(size))
		path := fmt.Sprintf("/p%d/item/17", size-1)
		host := fmt.Sprintf("h%d.example", (size-1)%8)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if s.Match(host, path) == nil {
					b.Fatal("no route")
				}
			}
		})
	}
}

func BenchmarkPatch(b *testing.B) {
	for _, size := range benchmarkSizes {
		document := mustParse(b, largeDocument(size))
		patch := []byte(`{"version":9,"upsert":{"routes":[` + routeText(`{"name":"r-50","pathPrefix":"/p50/","timeoutMs":7}`) + `]}}`)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			b.ReportMetric(float64(len(patch)), "patch-bytes")
			b.ReportAllocs()
			for b.Loop() {
				if _, err := document.Patch(patch); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

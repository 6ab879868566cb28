package configuration

import (
	"fmt"
	"strings"
	"testing"

	"nickelline/internal/measure"
)

// BenchmarkDocumentSize reports the size of a document as text and of its snapshot in memory, and measures how the time to
// parse and compile it grows with the number of routes and with the number of tenants.
func BenchmarkDocumentSize(b *testing.B) {
	for _, size := range []struct{ routes, tenants int }{{10, 100}, {10, 940}, {200, 940}, {940, 940}} {
		text := []byte(sizedDocument(size.routes, size.tenants))
		b.Run(fmt.Sprintf("routes=%d/tenants=%d", size.routes, size.tenants), func(b *testing.B) {
			for b.Loop() {
				compileText(b, text)
			}
			b.ReportMetric(float64(len(text)), "document-bytes")
			heap := measure.Heap(10, func() *Snapshot { return compileText(b, text) })
			b.ReportMetric(heap, "heap-bytes")
		})
	}
}

func compileText(b *testing.B, text []byte) *Snapshot {
	document, err := Parse(text)
	if err != nil {
		b.Fatal(err)
	}
	snapshot, err := Compile(document)
	if err != nil {
		b.Fatal(err)
	}
	return snapshot
}

// sizedDocument returns the text of a document with a number of routes and a number of tenants.
func sizedDocument(routes, tenants int) string {
	var routeTexts, tenantTexts []string
	for i := range routes {
		routeTexts = append(routeTexts, routeText(fmt.Sprintf(`{"name":"r-%d","hostname":"h%d.example","pathPrefix":"/p%d/"}`, i, i%8, i)))
	}
	for i := range tenants {
		tenantTexts = append(tenantTexts, fmt.Sprintf(`{"name":"t-%d","apiKeys":["key-%016d-a","key-%016d-b"],"priority":1,"ratePerS":81,"burstSize":81}`, i, i, i))
	}
	return documentText(strings.Join(routeTexts, ","), strings.Join(tenantTexts, ","))
}

package config

import (
	"fmt"
	"testing"
)

// BenchmarkParse measures parsing and validating documents of 1, 4 and 16 KB.
func BenchmarkParse(b *testing.B) {
	for _, size := range []int{1024, 4096, 16384} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			doc := fmt.Appendf(nil, `{"service": "s", "organisations": [`)
			for i := 0; len(doc) < size-80; i++ {
				doc = fmt.Appendf(doc, `{"name": "organisation-%d", "rate_tokens_per_s": 1000, "burst_tokens": 60000},`, i)
			}
			doc = fmt.Append(doc, "]}")
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Parse("s", doc); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

package keys

import (
	"fmt"
	"testing"

	"github.com/eelgrassbay/eelgrassbay/internal/config"
)

func BenchmarkCheck(b *testing.B) {
	for _, n := range []int{5, 100, 2000} {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			var key string
			org := config.Organisation{Name: "o"}
			for range n {
				secret, stored, err := Generate()
				if err != nil {
					b.Fatal(err)
				}
				key, org.Keys = secret, append(org.Keys, stored)
			}
			d := NewDirectory([]*config.Service{{Service: "s", Organisations: []config.Organisation{org}}})
			b.ReportAllocs()
			for b.Loop() {
				if _, err := d.Authenticate(key, 0); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// largeTable returns a table of 2,200 upstreams and 510 models, of which "m0"
// has the given number of replicas.
func largeTable(replicas int) *Table {
	t := New(Options{AdapterLoadTime: 6 * time.Millisecond})
	for i := range 2200 {
		name := fmt.Sprintf("u%04d", i)
		t.SetUpstream(Upstream{Name: name, Zone: "z", PrefillRate: 10_000, MaxRunning: 32})
		resident := []ResidentModel{
			{Model: fmt.Sprintf("m%d", 1+i%509), Ready: true},
			{Model: fmt.Sprintf("m%d", 1+(i*7+3)%509), Ready: true},
		}
		if i < replicas {
			resident = append(resident, ResidentModel{Model: "m0", Adapters: []string{"a"}, Ready: true})
		}
		t.SetResident(name, resident)
		t.Report(0, name, Load{Running: i % 20, FreeKVTokens: 1 << 20, Age: time.Second})
	}
	return t
}

func BenchmarkPick(b *testing.B) {
	for _, replicas := range []int{1, 4, 16, 64, 256} {
		b.Run(fmt.Sprintf("homes=%d", replicas), func(b *testing.B) {
			t := largeTable(replicas)
			random := rand.New(rand.NewPCG(1, 1))
			r := Request{Model: "m0", Adapter: "a", PrefixTokens: 512, PromptTokens: 900, MaxTokens: 300, Deadline: time.Hour}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.Prefix = uint64(i%5000) + 1
				if _, err := t.Pick(time.Second, r, random); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func TestPickAllocatesNothing(t *testing.T) {
	table := largeTable(64)
	random := rand.New(rand.NewPCG(1, 1))
	r := Request{Model: "m0", Adapter: "a", Prefix: 7, PrefixTokens: 512, PromptTokens: 900}
	n := testing.AllocsPerRun(100, func() {
		c, _ := table.Pick(time.Second, r, random)
		table.Started(time.Second, Started{Upstream: c.Upstream, PrefillTokens: 900, Prefix: 7, PrefixTokens: 512})
		table.Finished(time.Second, Finished{Upstream: c.Upstream, Duration: time.Second})
	})
	must.Eq(t, 0.0, n)
}

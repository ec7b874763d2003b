package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteText writes the report as tables.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "# %s: seed %d, run %s, %.0f s scheduled, %.1f s elapsed\n", r.Name, r.Seed, r.RunID, r.DurationS, r.ElapsedS)
	for _, s := range []struct {
		title string
		list  []Group
	}{
		{"total", []Group{r.Total}},
		{"organisation", r.Organisations},
		{"organisation/class", r.OrganisationsByClass},
		{"flow", r.Flows},
	} {
		writeGroups(t, s.title, s.list)
	}
	r.writeRefusals(t)
	if r.WorstServed != nil {
		fmt.Fprintf(t, "\nworst served %s %.4f, best served %s %.4f, worst to best %.4f\n",
			r.WorstServed.Organisation, r.WorstServed.Attainment,
			r.BestServed.Organisation, r.BestServed.Attainment, r.WorstToBest)
	}
	if r.CheckInCounts != nil {
		fmt.Fprintf(t, "check-ins that ran %d, more than once %d\n", r.CheckInCounts.CheckIns, r.CheckInCounts.Repeated)
	}
	return t.Flush()
}

func writeGroups(w io.Writer, title string, list []Group) {
	fmt.Fprintf(w, "\n%s\tintended\tok\trefused\tfailed\ttimeout\tcut\tincomplete\twrong\tunsent\tattained\tttft p50\tp99\tworst gap p50\tp99\ttotal p50\tp99\tlate p99\t\n", title)
	for _, g := range list {
		c := g.Counts
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t", g.Name,
			c.Intended, c.OK, c.RefusedTotal(), c.Failed, c.Timeout, c.Truncated, c.Incomplete, c.Mismatch, c.Unsent)
		fmt.Fprintf(w, "%.4f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", g.Attainment,
			g.FirstToken.P50, g.FirstToken.P99, g.WorstGap.P50, g.WorstGap.P99, g.Total.P50, g.Total.P99, g.SendDelay.P99)
	}
}

func (r *Report) writeRefusals(w io.Writer) {
	for _, g := range r.Organisations {
		for _, code := range sortedKeys(g.Counts.Refused) {
			fmt.Fprintf(w, "\nrefused %s: %s %d", g.Name, code, g.Counts.Refused[code])
		}
	}
	fmt.Fprintln(w)
}

package fair

// choose returns the flow and class to serve next, or nil.
func (q *Queue) choose() (*flow, Class) {
	if q.opts.Policy == FirstComeFirstServed {
		return q.oldest()
	}
	live, batch := q.least(Live), q.least(Batch)
	switch {
	case batch == nil:
		return live, Live
	case live == nil:
		return batch, Batch
	case q.BatchOwed():
		return batch, Batch
	default:
		return live, Live
	}
}

// settle moves the credit of the batch class: live service earns it while
// batch requests wait, batch service spends it.
func (q *Queue) settle(c Class, cost float64) {
	share := float64(q.opts.BatchPercent) / 100
	switch {
	case c == Live && !q.idle(Batch):
		q.credit += cost * share / (1 - share)
	case c == Batch:
		q.credit = max(0, q.credit-cost)
	}
}

// least returns the waiting flow with the least counter; the oldest head
// breaks a tie.
func (q *Queue) least(c Class) *flow {
	var best *flow
	for _, f := range q.flows {
		if len(f.waiting[c]) > 0 && (best == nil || q.ahead(f, best, c)) {
			best = f
		}
	}
	return best
}

func (q *Queue) ahead(a, b *flow, c Class) bool {
	if q.opts.Policy == TokenCounters && a.counter[c] != b.counter[c] {
		return a.counter[c] < b.counter[c]
	}
	return a.waiting[c][0].seq < b.waiting[c][0].seq
}

func (q *Queue) oldest() (*flow, Class) {
	var best *flow
	var class Class
	for _, f := range q.flows {
		for c := range classes {
			if len(f.waiting[c]) == 0 {
				continue
			}
			if best == nil || f.waiting[c][0].seq < best.waiting[class][0].seq {
				best, class = f, c
			}
		}
	}
	return best, class
}

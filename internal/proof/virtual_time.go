package proof

import (
	"container/heap"
	"time"
)

// VirtualTime calls functions at times that pass without waiting, for models in tests. The zero value begins at the zero time.
type VirtualTime struct {
	Now      time.Time
	Sequence int // Last number that After drew; functions of the same time are called in its order. Models may draw numbers too.

	due timers
}

// After calls a function once a time has passed.
func (v *VirtualTime) After(d time.Duration, call func()) {
	v.Sequence++
	heap.Push(&v.due, timer{v.Now.Add(d), v.Sequence, call})
}

// Next calls the next function if it is due before the end, and reports whether it was.
func (v *VirtualTime) Next(end time.Time) bool {
	if len(v.due) == 0 || !v.due[0].at.Before(end) {
		return false
	}
	next := heap.Pop(&v.due).(timer)
	v.Now = next.at
	next.call()
	return true
}

// Run lets a time pass and calls what is due by its end.
func (v *VirtualTime) Run(d time.Duration) {
	end := v.Now.Add(d)
	for v.Next(end.Add(time.Nanosecond)) {
	}
	v.Now = end
}

// timer is a function that is called at a time.
type timer struct {
	at       time.Time
	sequence int
	call     func()
}

// timers is a heap of timers, the next one first. It implements heap.Interface.
type timers []timer

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool {
	return t[i].at.Before(t[j].at) || t[i].at.Equal(t[j].at) && t[i].sequence < t[j].sequence
}

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

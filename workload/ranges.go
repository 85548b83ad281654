package workload

import "slices"

// Range is the numbers from the first to the second, both included.
type Range [2]int

// Ranges is a set of numbers as ascending ranges with gaps between them.
type Ranges []Range

// Add adds a number.
func (r *Ranges) Add(k int) {
	n, found := slices.BinarySearchFunc(*r, k, func(x Range, k int) int {
		switch {
		case x[1] < k:
			return -1
		case x[0] > k:
			return 1
		}
		return 0
	})
	if found {
		return
	}
	joinsLeft, joinsRight := n > 0 && (*r)[n-1][1] == k-1, n < len(*r) && (*r)[n][0] == k+1
	switch {
	case joinsLeft && joinsRight:
		(*r)[n-1][1] = (*r)[n][1]
		*r = slices.Delete(*r, n, n+1)
	case joinsLeft:
		(*r)[n-1][1] = k
	case joinsRight:
		(*r)[n][0] = k
	default:
		*r = slices.Insert(*r, n, Range{k, k})
	}
}

// Len returns how many numbers the set has.
func (r Ranges) Len() int {
	n := 0
	for _, x := range r {
		n += x[1] - x[0] + 1
	}
	return n
}

// Max returns the highest number, or -1 if the set is empty.
func (r Ranges) Max() int {
	if len(r) == 0 {
		return -1
	}
	return r[len(r)-1][1]
}

package tables

import (
	"slices"
	"testing"
)

// Guards against a priority that starves because the operator set no minimum shares, and against a share for the most
// urgent priority, which needs none.
func TestDefaultMinShares(t *testing.T) {
	for _, c := range []struct {
		priorities []int
		want       []MinShare
	}{
		{nil, nil},
		{[]int{2, 2}, nil},
		{[]int{2, 0}, []MinShare{{2, 30}}},
		{[]int{1, 0, 2, 1}, []MinShare{{1, 15}, {2, 15}}},
	} {
		if got := DefaultMinShares(c.priorities); !slices.Equal(got, c.want) {
			t.Errorf("priorities %v get %v, expected %v", c.priorities, got, c.want)
		}
	}
}

package substitute

import (
	"testing"
	"time"
)

// Guards against a search that asks several nodes at a time, gives up after one round, or goes on asking at full
// speed while the store answers nobody.
func TestSearchAsksOneAfterTheOther(t *testing.T) {
	var s Search
	candidates := []string{"a", "b", "c"}
	var asked []string
	for now := time.Duration(0); now < time.Minute; now += 50 * time.Millisecond {
		if node, ok := s.Next(now, candidates); ok {
			asked = append(asked, node)
			if node == "b" { // the others do not answer at all
				s.Answered(node, false, now)
			}
		}
	}
	if len(asked) < 6 || len(asked) > 14 || asked[0] != "a" || asked[1] != "b" || asked[2] != "c" || asked[3] != "a" {
		t.Errorf("in a minute %v are asked", asked)
	}
}

// Guards against a substitute that is not asked again, so that its role ends, and against one that is kept although
// the store does not answer it any more or it has gone.
func TestSubstituteIsAskedAgainUntilItFails(t *testing.T) {
	var s Search
	candidates := []string{"a", "b"}
	last := time.Duration(0)
	for now := time.Duration(0); now < 20*time.Second; now += 50 * time.Millisecond {
		if node, ok := s.Next(now, candidates); ok {
			if node != "a" || now-last >= RoleTTL {
				t.Fatalf("%s is asked at %v, the substitute %v before", node, now, now-last)
			}
			last = now
			s.Answered(node, true, now)
		}
	}
	if node, found := s.Substitute(); node != "a" || !found {
		t.Errorf("the substitute is %q, %v", node, found)
	}
	if node, _ := s.Next(30*time.Second, candidates[1:]); node != "b" {
		t.Errorf("when the substitute has gone %q is asked", node)
	}
	s.End()
	if _, found := s.Substitute(); found {
		t.Error("there is a substitute after the end of the search")
	}
	s.Answered("b", true, 31*time.Second)
	if _, found := s.Substitute(); found {
		t.Error("an answer of before the end counts")
	}
}

package quota

import (
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

func viewOf(self string, live ...string) View {
	v := View{Self: Peer{self, 1}, Known: live, Alive: len(live)}
	for _, node := range live {
		v.Live = append(v.Live, Peer{node, 1})
	}
	return v
}

// Guards against deployments without slack whose quotas are divided, and against parts that exceed the quota together or have the
// same owner.
func TestQuotaIsDividedOnlyWithSlack(t *testing.T) {
	w := tables.Workspace{Name: "w", Rate: 30, Burst: 30}
	for slack, parts := range map[float64]int{0: 1, minPartsSlack - 1: 1, minPartsSlack: maxParts, 20: maxParts} {
		limits := Limits{Window: 5 * time.Second, Slack: slack}
		whole, part := newPlan(w, limits), newPlan(w, limits).ofPart()
		if limits.parts() != parts || part.rate*float64(parts) > whole.rate+1e-9 || part.capacity*float64(parts) > whole.capacity+1e-9 {
			t.Errorf("slack %v: %d parts of %+v, the whole is %+v", slack, limits.parts(), part, whole)
		}
		all := []string{"a", "b", "c", "d"}
		owned := 0
		for _, node := range all {
			o := NewOwner(limits)
			o.SetWorkspaces(0, 1, []tables.Workspace{w})
			o.SetView(0, viewOf(node, all...))
			if o.Owned() > 1 {
				t.Errorf("slack %v: %s owns %d parts", slack, node, o.Owned())
			}
			owned += o.Owned()
		}
		if owned != parts {
			t.Errorf("slack %v: %d parts are owned, expected %d", slack, owned, parts)
		}
	}
}

// Guards against names of parts in messages that belong to no part.
func TestNamesOfParts(t *testing.T) {
	for part := range maxParts {
		if w, got := splitPart(partName("red", part)); w != "red" || got != part {
			t.Errorf("part %d: %q %d", part, w, got)
		}
	}
	for _, name := range []string{"red\x00", "red\x000", "red\x009", "red\x00", "red\x0011"} {
		if _, part := splitPart(name); part >= 0 {
			t.Errorf("%q is part %d", name, part)
		}
		o := NewOwner(deploymentLimits)
		o.SetView(0, viewOf("a", "a", "b"))
		o.HandleReleases(0, []Release{{Workspace: name, Level: 5}})
		grant := o.Handle(0, Peer{"b", 1}, Request{Seq: 1, Asks: []Ask{{Workspace: name, Needed: 1}}})
		if len(o.received) > 0 || len(o.TakeReleases()) > 0 || !grant.Tokens[0].NotGranting {
			t.Errorf("%q was accepted", name)
		}
	}
}

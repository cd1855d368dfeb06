// Package quota limits the requests of each workspace at all nodes together. A quota is divided into parts. Each part has an
// owner among the nodes, which keeps its token bucket and grants tokens ahead of their use. Node is the side of the node at which calls enter,
// Owner the side that grants. Both are pure: times come in, decisions and messages come out.
package quota

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

const (
	// maxWait is how long a call may wait for a token.
	maxWait = 100 * time.Millisecond
	// arrivalMargin is the longest time from the sending of a request by its caller to the use of its token: maxWait and
	// the way to the node. The bound counts requests by the time at which they were sent.
	arrivalMargin = maxWait + 50*time.Millisecond
	// ownerExtra is the part of the permitted overage that owners grant. The rest is the allowance of nodes that get no
	// answer of an owner.
	ownerExtra = 0.5
	// validity of tokens that are granted ahead. It is shorter than takeOverDelay: all tokens of an earlier owner have expired
	// when the next one begins.
	validity = 2500 * time.Millisecond
	// immediateValidity is the validity of tokens for calls that wait. They are used when they arrive.
	immediateValidity = maxWait + 50*time.Millisecond
	// minFillTime is the shortest time in which the rate fills a bucket. Tokens for calls that wait count against the
	// capacity for half of it, so that a smaller bucket would slow the granting below the rate.
	minFillTime = 400 * time.Millisecond
)

const (
	// maxParts is the number of owners of a quota. While one is lost the other two grant two thirds of the rate, which is
	// more than the usual demand of 1/1.6.
	maxParts = 3
	// minPartsSlack is the least slack with which quotas are divided: the bucket of each part then has two tokens or more.
	minPartsSlack = 12
	// partMark separates the name of a workspace and the index of a part. Names of workspaces do not contain it.
	partMark = '\x00'
)

// parts returns the number of parts of each quota. It depends on the settings only, so that all nodes agree on it.
func (l Limits) parts() int {
	if l.Slack >= minPartsSlack {
		return maxParts
	}
	return 1
}

// partName returns the name by which messages and buckets refer to a part of a quota. The first part has the name of the
// workspace.
func partName(workspace string, part int) string {
	if part == 0 {
		return workspace
	}
	return workspace + string(partMark) + string(rune('0'+part))
}

// splitPart returns the workspace and the index of a part. The index is negative if the name is invalid.
func splitPart(name string) (workspace string, part int) {
	i := strings.IndexByte(name, partMark)
	switch {
	case i < 0:
		return name, 0
	case i != len(name)-2 || name[i+1] < '1' || name[i+1] >= '0'+maxParts:
		return name[:i], -1
	}
	return name[:i], int(name[i+1] - '0')
}

// Limits says how exactly quotas are kept: in any Window at most (rate x Window + burst) x (1 + Overage) + Slack requests.
type Limits struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// plan is how the quota of a workspace is divided between its owner and the allowances of the nodes.
type plan struct {
	rate      float64 // tokens per second that the owner's bucket gains
	capacity  float64 // tokens that the owner's bucket and the nodes may hold together
	allowance int     // requests per window of all nodes together without an owner
	quota     float64 // requests per window, without overage
	parts     int
}

// newPlan divides a quota so that in any window the requests that use an owner's tokens, which are at most capacity +
// rate x (window + arrivalMargin), and the allowances stay within the limits together.
func newPlan(w tables.Workspace, l Limits) plan {
	extra := l.Overage*(w.Rate*l.Window.Seconds()+w.Burst) + l.Slack
	credit := w.Burst + extra*ownerExtra
	// One request is the least that a quota may allow: smaller sums of rate and burst are rounded up.
	capacity := max(credit-w.Rate*arrivalMargin.Seconds(), w.Rate*minFillTime.Seconds(), 1)
	rate := min(w.Rate, (w.Rate*l.Window.Seconds()+credit-capacity)/(l.Window+arrivalMargin).Seconds())
	return plan{
		rate: max(rate, 0), capacity: capacity,
		allowance: int(extra * (1 - ownerExtra)), quota: w.Rate*l.Window.Seconds() + w.Burst,
		parts: l.parts(),
	}
}

// ofPart returns the plan of the bucket of one part. Rates and capacities of the parts add up to those of the quota.
func (p plan) ofPart() plan {
	p.rate, p.capacity = p.rate/float64(p.parts), p.capacity/float64(p.parts)
	return p
}

// Peer is one incarnation of a node.
type Peer struct {
	Node        string
	Incarnation uint64
}

// View is what a node knows of the members.
type View struct {
	Self  Peer
	Live  []Peer   // that may own quotas
	Alive int      // members that are heard
	Known []string // members that have not left, whether they are heard or not
	Ended int      // members of Known whose process is known to have ended
	// Expected is the number of members that the store's entries named at the start, without those that have left or ended since, or
	// 0 if it is not known. All nodes of one side of a partition may have restarted and know none of the others.
	Expected int
	// ChangedAt is when the members changed last.
	ChangedAt time.Duration
	// Alone is set while the node may be cut off from others that it has not heard of. It then owns nothing.
	Alone bool
}

// ownerOf returns the owner of a part of a quota.
func (v *View) ownerOf(name string) (Peer, bool) {
	workspace, part := splitPart(name)
	if part < 0 {
		return Peer{}, false
	}
	owners, ok := v.ownersOf(workspace, part+1)
	return owners[part], ok
}

// ownersOf returns the owners of the first parts of a workspace's quota. The owner of a part is the first live member by
// rendezvous hashing that owns no earlier part; with fewer members than parts it may own several.
func (v *View) ownersOf(workspace string, parts int) (owners [maxParts]Peer, ok bool) {
	prefix := hashName(workspace)
	var best [maxParts][maxParts]candidate // by part, the best first; a part needs one more than there are earlier parts
	for _, peer := range v.Live {
		hash := prefix.add(peer.Node)
		for part := range parts {
			insertCandidate(best[part][:part+1], candidate{peer, hash.scoreOf(part)})
		}
	}
	for part := range parts {
		owners[part] = best[part][0].peer
		for _, c := range best[part][:part+1] {
			if c.peer.Node != "" && !slices.Contains(owners[:part], c.peer) {
				owners[part] = c.peer
				break
			}
		}
	}
	return owners, len(v.Live) > 0 && !v.Alone
}

// candidate is a member that may own a part.
type candidate struct {
	peer  Peer
	score uint64
}

// insertCandidate inserts a candidate into a list of the best ones, and drops the last.
func insertCandidate(best []candidate, c candidate) {
	for i := range best {
		if best[i].peer.Node == "" || c.score > best[i].score {
			best[i], c = c, best[i]
		}
	}
}

// allowanceOf returns how many requests of a workspace the node may admit in a window without an owner. If there are fewer
// than members, the first ones by rendezvous hashing have one each.
func (v *View) allowanceOf(workspace string, all int) int {
	known := len(v.Known)
	if known == 0 || v.Alone {
		return 0
	}
	if all >= known {
		return all / known
	}
	prefix := hashName(workspace)
	rank, own := 0, prefix.score(v.Self.Node)
	for _, node := range v.Known {
		if node != v.Self.Node && prefix.score(node) > own {
			rank++
		}
	}
	if rank < all {
		return 1
	}
	return 0
}

// share returns the part of the rate that an owner may grant: that of the members that it hears among all known whose process
// may run.
func (v *View) share() float64 {
	if v.Alone || len(v.Known) == 0 {
		return 0
	}
	return min(float64(v.Alive)/float64(max(len(v.Known)-v.Ended, v.Expected, 1)), 1)
}

// nameHash is the state of a rendezvous hash after the name of a quota.
type nameHash uint64

func hashName(name string) nameHash {
	return nameHash(14695981039346656037).add(name).add("\x00")
}

// add continues the hash, which is FNV-1a.
func (h nameHash) add(s string) nameHash {
	for i := 0; i < len(s); i++ {
		h = (h ^ nameHash(s[i])) * 1099511628211
	}
	return h
}

// score is the rendezvous hash of the first part of a quota and a node.
func (h nameHash) score(node string) uint64 { return h.add(node).scoreOf(0) }

// partFactor makes the hashes of the parts of a quota differ.
const partFactor = 0x9e3779b97f4a7c15

// scoreOf ends the hash for a part with a final mix, because names differ in their last bytes.
func (h nameHash) scoreOf(part int) uint64 {
	x := uint64(h) ^ uint64(part)*partFactor
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// whole returns the whole tokens in x, with a margin for rounding.
func whole(x float64) float64 { return max(math.Floor(x+1e-9), 0) }

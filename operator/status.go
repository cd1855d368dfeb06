package operator

import (
	"context"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/rosemaryhatch/rosemaryhatch/internal/httpresponse"
	"github.com/rosemaryhatch/rosemaryhatch/operator/nodestatus"
)

// Limits of status queries.
const (
	queryTimeout         = 2 * time.Second // per node; a live node answers in milliseconds
	maxConcurrentQueries = 32
	maxNodes             = 4096 // maximum size of a member table
	maxStatusBytes       = 4 << 20
)

// NodeAnswer is the status of the node at an address, or the problem that kept it from being read.
type NodeAnswer struct {
	Address string            `json:"address"`
	Problem string            `json:"problem,omitempty"`
	Status  nodestatus.Status `json:"status"`
}

var statusClient = &http.Client{Transport: httpresponse.NewTransport(&http.Transport{DisableKeepAlives: true})}

// QueryStatus reads the status of the node at an operator address, which has the form IP:port.
func QueryStatus(ctx context.Context, address string) NodeAnswer {
	status, err := fetchStatus(ctx, address)
	if err != nil {
		return NodeAnswer{Address: address, Problem: err.Error()}
	}
	return NodeAnswer{Address: address, Status: status}
}

// fetchStatus requests and parses the status of a node within queryTimeout.
func fetchStatus(ctx context.Context, address string) (nodestatus.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	errBuilder := oops.In("operator").With("address", address)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+nodestatus.Path, nil)
	if err != nil {
		return nodestatus.Status{}, errBuilder.Wrapf(err, "%q is not an address", address)
	}
	response, err := statusClient.Do(request)
	if err != nil {
		return nodestatus.Status{}, errBuilder.Wrapf(err, "no answer")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nodestatus.Status{}, errBuilder.Errorf("answered with status %d, expected 200", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStatusBytes))
	if err != nil {
		return nodestatus.Status{}, errBuilder.Wrapf(err, "answer ended early")
	}
	return nodestatus.Parse(body)
}

// QueryStatuses reads the status of the nodes at the operator addresses, and with discover also of the live members
// that they report. It returns the answers ordered by address, at most maxNodes.
func QueryStatuses(ctx context.Context, addresses []string, discover bool) []NodeAnswer {
	known := map[string]bool{}
	var out []NodeAnswer
	for next := takeUnknown(addresses, known); len(next) > 0; {
		answers := queryConcurrently(ctx, next)
		out = append(out, answers...)
		next = nil
		if discover {
			next = takeUnknown(liveMemberAddresses(answers), known)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Address < out[j].Address })
	return out
}

// takeUnknown returns the addresses that are not in known yet and adds them to it, up to maxNodes in all.
func takeUnknown(addresses []string, known map[string]bool) []string {
	var out []string
	for _, address := range addresses {
		if address != "" && !known[address] && len(known) < maxNodes {
			known[address] = true
			out = append(out, address)
		}
	}
	return out
}

func liveMemberAddresses(answers []NodeAnswer) []string {
	var out []string
	for _, answer := range answers {
		for _, member := range answer.Status.Members {
			if member.IsLive() {
				out = append(out, member.Operator)
			}
		}
	}
	return out
}

// queryConcurrently queries at most maxConcurrentQueries nodes at a time. The answers are in the order of the addresses.
func queryConcurrently(ctx context.Context, addresses []string) []NodeAnswer {
	answers := make([]NodeAnswer, len(addresses))
	semaphore := make(chan struct{}, maxConcurrentQueries)
	var group sync.WaitGroup
	for i, address := range addresses {
		semaphore <- struct{}{}
		group.Go(func() {
			answers[i] = QueryStatus(ctx, address)
			<-semaphore
		})
	}
	group.Wait()
	return answers
}

// mergeMembers merges the member tables of the nodes. It returns the newest entry of each member by node name.
func mergeMembers(answers []NodeAnswer) map[string]nodestatus.Member {
	out := map[string]nodestatus.Member{}
	for _, answer := range answers {
		for _, member := range answer.Status.Members {
			if known, ok := out[member.Node]; !ok || isNewer(member, known) {
				out[member.Node] = member
			}
		}
	}
	return out
}

// isNewer reports whether an entry replaces another one of the same member. Entries with the same incarnation and
// sequence can differ only briefly between nodes, and either may be used.
func isNewer(member, other nodestatus.Member) bool {
	if member.Incarnation != other.Incarnation {
		return member.Incarnation > other.Incarnation
	}
	return member.Sequence > other.Sequence
}

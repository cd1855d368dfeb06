package peer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/quota"
)

// QuotaRequest is reducer.QuotaRequest on the wire. Numbers of tokens are whole.
type QuotaRequest struct {
	Seq      uint64
	Asks     []QuotaAsk
	Releases []QuotaRelease
	// GrantInReply is set when the sender takes the grant in the reply.
	GrantInReply bool
	// QueryRound and QueryParts are quota.Query.
	QueryRound uint64
	QueryParts []string
}

// QuotaAsk is quota.Ask on the wire.
type QuotaAsk struct {
	Workspace                     string
	Needed, Ahead, Held, Returned uint64
	Demand                        uint64 // in units of 1/demandUnits requests per second
}

// QuotaRelease is quota.Release on the wire.
type QuotaRelease struct {
	Workspace  string
	Level, Out uint64
	SharePart  uint64 // in units of 1/shareUnits, rounded down
	Hops       int
}

// QuotaGrant is reducer.QuotaGrant on the wire.
type QuotaGrant struct {
	Seq     uint64
	Version uint64
	Tokens  []QuotaTokens
	// AnswerRound and AnswerFree are quota.Answer.
	AnswerRound uint64
	AnswerFree  bool
}

// QuotaTokens is quota.Tokens on the wire.
type QuotaTokens struct {
	Workspace   string
	Now, Ahead  uint64
	ValidFor    uint64 // milliseconds
	RetryAfter  uint64 // milliseconds, rounded up
	Quota       float64
	NotGranting bool
}

const (
	demandUnits = 1000
	shareUnits  = 1e6
	// maxWireTokens is the largest number on the wire that is taken over. Larger ones are of a faulty peer.
	maxWireTokens = 1 << 40
)

func wireTokens(tokens float64) uint64 { return uint64(max(min(tokens, maxWireTokens), 0)) }

func fromWireTokens(tokens uint64) float64 { return float64(min(tokens, maxWireTokens)) }

func wireMilliseconds(d time.Duration) uint64 {
	return uint64(max((d+time.Millisecond-1)/time.Millisecond, 0))
}

func fromWireMilliseconds(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(time.Hour/time.Millisecond))) * time.Millisecond
}

func wireQuotaRequest(m reducer.QuotaRequest) *QuotaRequest {
	out := &QuotaRequest{Seq: m.Seq, GrantInReply: len(m.Asks) > 0, QueryRound: m.Query.Round, QueryParts: m.Query.Parts}
	for _, a := range m.Asks {
		out.Asks = append(out.Asks, QuotaAsk{
			Workspace: a.Workspace, Needed: wireTokens(a.Needed), Ahead: wireTokens(a.Ahead), Held: wireTokens(a.Held),
			Returned: wireTokens(a.Returned), Demand: wireTokens(a.Demand * demandUnits),
		})
	}
	for _, r := range m.Releases {
		// Tokens that nodes may use are rounded up.
		out.Releases = append(out.Releases, QuotaRelease{Workspace: r.Workspace, Level: wireTokens(r.Level), Out: wireTokens(r.Out + 1), SharePart: wireTokens(r.Share * shareUnits), Hops: r.Hops})
	}
	return out
}

func (q *QuotaRequest) toMessage() reducer.QuotaRequest {
	out := reducer.QuotaRequest{Request: quota.Request{Seq: q.Seq}, Query: quota.Query{Round: q.QueryRound, Parts: q.QueryParts}}
	for _, a := range q.Asks {
		out.Asks = append(out.Asks, quota.Ask{
			Workspace: a.Workspace, Needed: fromWireTokens(a.Needed), Ahead: fromWireTokens(a.Ahead), Held: fromWireTokens(a.Held),
			Returned: fromWireTokens(a.Returned), Demand: fromWireTokens(a.Demand) / demandUnits,
		})
	}
	for _, r := range q.Releases {
		out.Releases = append(out.Releases, quota.Release{Workspace: r.Workspace, Level: fromWireTokens(r.Level), Out: fromWireTokens(r.Out), Share: min(fromWireTokens(r.SharePart)/shareUnits, 1), Hops: max(r.Hops, 0)})
	}
	return out
}

func wireQuotaGrant(m reducer.QuotaGrant) *QuotaGrant {
	out := &QuotaGrant{Seq: m.Seq, Version: m.Version, AnswerRound: m.Answer.Round, AnswerFree: m.Answer.Free}
	for _, t := range m.Tokens {
		out.Tokens = append(out.Tokens, QuotaTokens{
			Workspace: t.Workspace, Now: wireTokens(t.Now), Ahead: wireTokens(t.Ahead), ValidFor: uint64(max(t.ValidFor.Milliseconds(), 0)),
			RetryAfter: wireMilliseconds(t.RetryAfter), Quota: t.Quota, NotGranting: t.NotGranting,
		})
	}
	return out
}

func (q *QuotaGrant) toMessage() reducer.QuotaGrant {
	out := reducer.QuotaGrant{
		Grant: quota.Grant{Seq: q.Seq, Version: q.Version}, Answer: quota.Answer{Round: q.AnswerRound, Free: q.AnswerFree},
	}
	for _, t := range q.Tokens {
		out.Tokens = append(out.Tokens, quota.Tokens{
			Workspace: t.Workspace, Now: fromWireTokens(t.Now), Ahead: fromWireTokens(t.Ahead), ValidFor: fromWireMilliseconds(t.ValidFor),
			RetryAfter: fromWireMilliseconds(t.RetryAfter), Quota: t.Quota, NotGranting: t.NotGranting,
		})
	}
	return out
}

package telemetry

import (
	"context"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/platform"
)

// countingStore is a store that counts the calls by method and result.
type countingStore struct {
	store   platform.Store
	metrics *Metrics
}

// NewCountingStore returns a store that passes calls to s and counts them in m.
func NewCountingStore(s platform.Store, m *Metrics) platform.Store { return &countingStore{s, m} }

func (s *countingStore) countResult(method string, err error) {
	result := "ok"
	if err != nil {
		result = platform.Unknown.String()
	}
	s.metrics.PlatformCallFinished(method, result)
}

// Get implements platform.Store.
func (s *countingStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	entry, err := s.store.Get(ctx, key)
	s.countResult("get", err)
	return entry, err
}

// Watch implements platform.Store.
func (s *countingStore) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (platform.WatchOutcome, platform.Entry, error) {
	outcome, entry, err := s.store.Watch(ctx, key, after, wait)
	s.countResult("watch", err)
	return outcome, entry, err
}

// CompareAndSwap implements platform.Store.
func (s *countingStore) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte) (platform.WriteOutcome, platform.Entry, error) {
	outcome, entry, err := s.store.CompareAndSwap(ctx, key, revision, value)
	s.metrics.PlatformCallFinished("compare_and_swap", outcome.String())
	return outcome, entry, err
}

// List implements platform.Store.
func (s *countingStore) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	entries, err := s.store.List(ctx, prefix)
	s.countResult("list", err)
	return entries, err
}

// PutLeased implements platform.Store.
func (s *countingStore) PutLeased(ctx context.Context, key string, value []byte, lease platform.LeaseID) (platform.WriteOutcome, error) {
	outcome, err := s.store.PutLeased(ctx, key, value, lease)
	s.metrics.PlatformCallFinished("put_leased", outcome.String())
	return outcome, err
}

// Transact implements platform.Store.
func (s *countingStore) Transact(ctx context.Context, conditions []platform.Condition, writes []platform.Write) (platform.WriteOutcome, uint64, error) {
	outcome, revision, err := s.store.Transact(ctx, conditions, writes)
	s.metrics.PlatformCallFinished("transact", outcome.String())
	return outcome, revision, err
}

// GrantLease implements platform.Store.
func (s *countingStore) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	lease, err := s.store.GrantLease(ctx, ttl)
	s.countResult("grant_lease", err)
	return lease, err
}

// RenewLease implements platform.Store.
func (s *countingStore) RenewLease(ctx context.Context, lease platform.LeaseID) (platform.WriteOutcome, error) {
	outcome, err := s.store.RenewLease(ctx, lease)
	s.metrics.PlatformCallFinished("renew_lease", outcome.String())
	return outcome, err
}

// EndLease implements platform.Store.
func (s *countingStore) EndLease(ctx context.Context, lease platform.LeaseID) error {
	err := s.store.EndLease(ctx, lease)
	s.countResult("end_lease", err)
	return err
}

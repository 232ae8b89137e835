package bwproof_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"basilwood.example/basilwood/bwcodec"
	"basilwood.example/basilwood/bwconfig"
	"basilwood.example/basilwood/bwpipe"
	"basilwood.example/basilwood/bwpool"
	"basilwood.example/basilwood/bwroster"
	"basilwood.example/basilwood/bwstandin"
	"basilwood.example/basilwood/bwstore"
)

func hostOf(address string) string { return bwpipe.HostOf(address) }

// editHost changes the roster entry of a host in the store by compare-and-swap on its revision.
func editHost(s *bwstore.Client, host string, edit func(*bwroster.Host)) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	e, err := s.Get(ctx, bwconfig.RosterKey(host))
	if err != nil {
		return err
	}
	shard := new(bwroster.Shard)
	if err := bwcodec.Unmarshal(e.Value(), shard); err != nil {
		return err
	}
	edit(shard.Find(host))
	value, err := bwcodec.Marshal(shard)
	if err != nil {
		return err
	}
	r := s.Put(ctx, bwstore.ClassMaintenance, e.Key(), value, e.Revision(), bwstore.NoLease)
	if r.Status() != bwstore.Written {
		return fmt.Errorf("writing the roster entry of %s: %s", host, r.Status())
	}
	return nil
}

// decodeValue returns the value within the envelope of a stored entry.
func decodeValue(raw json.RawMessage) (json.RawMessage, error) {
	var envelope struct {
		Value json.RawMessage `json:"value"`
	}
	err := json.Unmarshal(raw, &envelope)
	return envelope.Value, err
}

// permitsByID returns the permits of a pool by id.
func permitsByID(p *bwpool.Pool) map[string]*bwpool.Permit {
	permits := make(map[string]*bwpool.Permit)
	for _, permit := range p.GetPermits() {
		permits[permit.GetId()] = permit
	}
	return permits
}

// verifyHistory replays the store's history and returns the first violation of a roster or pool
// invariant, with its revision.
func verifyHistory(f *fleet) string {
	shards := make(map[string]*bwroster.Shard)
	poolValues := make(map[string]*bwpool.Pool)
	for _, change := range f.store.History() {
		key := change.Message.Key
		if change.Message.Deleted {
			continue
		}
		value, err := decodeValue(change.Message.Value)
		if err != nil {
			return err.Error()
		}
		switch {
		case strings.HasPrefix(key, bwconfig.PrefixRoster):
			shard := new(bwroster.Shard)
			if err := bwcodec.Unmarshal(value, shard); err != nil {
				return err.Error()
			}
			shards[key] = shard
			if violation := verifyRoster(shards); violation != "" {
				return fmt.Sprintf("revision %d: %s", change.Message.Revision, violation)
			}
		case strings.HasPrefix(key, bwconfig.PrefixPools):
			p := new(bwpool.Pool)
			if err := bwcodec.Unmarshal(value, p); err != nil {
				return err.Error()
			}
			if violation := verifyPool(poolValues[key], p); violation != "" {
				return fmt.Sprintf("revision %d: %s", change.Message.Revision, violation)
			}
			poolValues[key] = p
		}
	}
	return ""
}

// verifyRoster checks that no host is listed twice in the shards of the roster.
func verifyRoster(shards map[string]*bwroster.Shard) string {
	seen := make(map[string]string)
	for key, shard := range shards {
		for _, h := range shard.GetHosts() {
			if other, ok := seen[h.GetName()]; ok {
				return fmt.Sprintf("host %s is listed in both %s and %s", h.GetName(), other, key)
			}
			seen[h.GetName()] = key
		}
	}
	return ""
}

// verifyPool checks that the permits stay within the pool's budget when a new one is granted, and
// within the limits of the failure domains.
func verifyPool(old, p *bwpool.Pool) string {
	before := permitsByID(old)
	for _, permit := range p.GetPermits() {
		if before[permit.GetId()] == nil && len(p.GetPermits()) > int(p.GetMaxUnavailable()) {
			return fmt.Sprintf("pool %s has %d permits, budget %d", p.GetName(), len(p.GetPermits()), p.GetMaxUnavailable())
		}
	}
	return verifyFailureDomains(p)
}

// verifyFailureDomains checks the limits on permits for each failure domain: each rack and each data
// centre.
func verifyFailureDomains(p *bwpool.Pool) string {
	inDomain := make(map[string]int32)
	for i, host := range hostNames() {
		if p.FindPermit(host) != nil {
			inDomain[rackOf(i)]++
			inDomain[dataCentreOf(i)]++
		}
	}
	for domain, n := range inDomain {
		limit := p.GetMaxUnavailablePerRack()
		if strings.HasPrefix(domain, "dc") {
			limit = p.GetMaxUnavailablePerDataCentre()
		}
		if limit > 0 && n > limit {
			return fmt.Sprintf("pool %s has %d permits in %s, limit %d", p.GetName(), n, domain, limit)
		}
	}
	return ""
}

// shardOf returns the roster shard that a change writes, or nil if the change is a deletion or
// concerns another key.
func shardOf(change bwstandin.Change) (*bwroster.Shard, error) {
	if change.Message.Deleted || !strings.HasPrefix(change.Message.Key, bwconfig.PrefixRoster) {
		return nil, nil
	}
	value, err := decodeValue(change.Message.Value)
	if err != nil {
		return nil, err
	}
	shard := new(bwroster.Shard)
	return shard, bwcodec.Unmarshal(value, shard)
}

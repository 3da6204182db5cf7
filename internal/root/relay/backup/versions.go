package backup

import (
	"context"
	"maps"
)

// writeVersions writes the versions of all pools, if that is up to this host and they have changed or were written long ago.
func (b *Backup) writeVersions(ctx context.Context) {
	nowMS, known := b.clock.now()
	if !known || !b.writesForAll() {
		b.written = nil
		return
	}
	now := b.Now()
	soles, age, ok := b.history.All(now)
	if !ok || len(soles) == 0 {
		return
	}
	versions := map[string]string{}
	row := versionsRow{
		AtMS:       nowMS - age.Milliseconds(),
		Pools:      map[string]poolVersion{},
		SettledEra: b.settledEra(),
	}
	for pool, s := range soles {
		versions[pool] = s.Version
		row.Pools[pool] = poolVersion{
			Version: s.Version,
			SinceMS: min(row.AtMS, nowMS-s.ForMS),
		}
	}
	if b.written != nil && maps.Equal(versions, b.written) && now.Sub(b.writtenAt) < confirmInterval {
		return
	}
	err := putJSON(ctx, b.table, versionsKey, row)
	b.recordWrite(err)
	if err != nil {
		return
	}
	b.written = versions
	b.writtenAt = now
}

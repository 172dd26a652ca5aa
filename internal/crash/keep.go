package crash

import "time"

// TakeUnsaved returns the evidence whose quarantine has begun, changed or ended by what this host saw since the last call, and the
// keys among it that are quarantined no longer.
func (t *Table) TakeUnsaved() (quarantined []Evidence, ended []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for key := range t.unsaved {
		if e := t.keys[key]; e != nil && e.isQuarantined(now) {
			quarantined = append(quarantined, e.encode(now))
		} else {
			ended = append(ended, key)
		}
	}
	clear(t.unsaved)
	return quarantined, ended
}

// MarkUnsaved makes the next call of TakeUnsaved return a key again.
func (t *Table) MarkUnsaved(key uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.markUnsaved(key)
}

// markUnsaved is MarkUnsaved for a caller that holds the lock.
func (t *Table) markUnsaved(key uint64) {
	if t.unsaved == nil {
		t.unsaved = make(map[uint64]struct{})
	}
	if len(t.unsaved) < maxKeys {
		t.unsaved[key] = struct{}{}
	}
}

// Recall adds evidence that was saved a time ago. Keys whose evidence counts no longer are reported as unsaved.
func (t *Table) Recall(saved Evidence, since time.Duration) {
	sinceMS := max(0, since.Milliseconds())
	age := func(ms int64) int64 {
		if ms < 0 {
			return ms
		}
		return ms + sinceMS
	}
	saved.AnswerAgeMS, saved.TrialAgeMS = age(saved.AnswerAgeMS), age(saved.TrialAgeMS)
	isCurrent := false
	for i := range saved.Crashes {
		saved.Crashes[i].AgeMS = age(saved.Crashes[i].AgeMS)
		isCurrent = isCurrent || saved.Crashes[i].AgeMS < evidenceTTL.Milliseconds()
	}
	if !isCurrent {
		t.MarkUnsaved(saved.Key)
		return
	}
	t.Merge([]Evidence{saved})
}

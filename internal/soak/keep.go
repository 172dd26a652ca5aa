package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// journalTime is the format of times in the hosts' logs.
	journalTime = "2006-01-02T15:04:05.000Z"
	keptDirMode = 0o755
	keptMode    = 0o600
)

// journal records when faults began and when they had been undone.
type journal struct {
	mu    sync.Mutex
	lines []string
}

func (j *journal) add(format string, args ...any) {
	line := time.Now().UTC().Format(journalTime) + " " + fmt.Sprintf(format, args...)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lines = append(j.lines, line)
}

// keep leaves the journal of the faults, the callers' outcomes and the hosts' logs in a directory of the seed below Logs.
func (s *Soak) keep() error {
	dir := filepath.Join(s.Logs, fmt.Sprint("seed-", s.Seed, "-", time.Now().UTC().Format("150405.000")))
	if err := os.MkdirAll(dir, keptDirMode); err != nil {
		return errors.Wrap(err, "create directory of logs")
	}
	lines := slices.Clone(s.journal.lines)
	for _, o := range s.recorder.outcomes {
		body := o.body
		if o.isServed() {
			body = ""
		}
		lines = append(lines, fmt.Sprintf("%s outcome request=%s path=%s host=h%d status=%d retry_after=%q took=%s err=%v body=%.80q",
			o.sentAt.UTC().Format(journalTime), o.id, o.path, o.host, o.status, o.retryAfter, o.took, o.err, body))
	}
	slices.Sort(lines)
	if err := os.WriteFile(filepath.Join(dir, "soak.log"), []byte(strings.Join(lines, "\n")+"\n"), keptMode); err != nil {
		return errors.Wrap(err, "write log of the soak")
	}
	for _, h := range s.hosts {
		text, err := os.ReadFile(h.logFile())
		if err != nil {
			return errors.Wrap(err, "read log of a host")
		}
		if err := os.WriteFile(filepath.Join(dir, h.settings.Host+".log"), text, keptMode); err != nil {
			return errors.Wrap(err, "write log of a host")
		}
	}
	fmt.Fprintf(s.Out, "seed %d: logs are in %s\n", s.Seed, dir)
	return nil
}

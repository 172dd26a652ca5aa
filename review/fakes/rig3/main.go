// Command review3 plays the cases of the third review: the project's own hosts as processes, and stand-ins for consumers, engines and the
// platform's store.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// outcome is the exit status of a case.
type outcome int

const (
	held   outcome = 0
	broken outcome = 1
	unable outcome = 2
)

// world is a small deployment.
type world struct {
	rec       *record
	isTrouble bool
	dir       string
	ports     ports
	store     *store
	hosts     []*host
}

var cases = map[string]func(*world) outcome{"restore": restore, "twice": twice, "leave": leave, "crash": crash}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "engine" {
		serveEngine(os.Args[2], os.Args[3])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE RECORD")
		os.Exit(int(unable))
	}
	os.Exit(int(play(os.Args[1], os.Args[2])))
}

func play(name, recordPath string) outcome {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer func() { _ = os.RemoveAll(dir) }()
	w := &world{rec: rec, isTrouble: os.Getenv("TROUBLE") != "0", dir: dir}
	defer func() {
		for _, h := range w.hosts {
			if h.cmd != nil && !h.hasEnded() {
				h.kill()
			}
		}
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			logs, _ := filepath.Glob(filepath.Join(dir, "*.log"))
			for _, l := range logs {
				text, _ := os.ReadFile(l)
				_ = os.WriteFile(filepath.Join(keep, filepath.Base(l)), text, 0o600)
			}
		}
	}()
	rec.add("case %s, trouble %v", name, w.isTrouble)
	o := cases[name](w)
	text := map[outcome]string{held: "the rule held", broken: "the rule was broken", unable: "the case could not run"}[o]
	rec.add("%s", text)
	fmt.Println(text)
	return o
}

// begin starts a store and n hosts in the zones z1, z3 and z2 in turn, and waits for them.
func (w *world) begin(n int, era int64) error {
	var err error
	if w.store, err = newStore(w.rec, "127.0.30.1:0", era); err != nil {
		return err
	}
	w.ports = freePorts("127.0.31.1")
	zones := [][2]string{{"z1", "east"}, {"z3", "east"}, {"z2", "west"}}
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("127.0.31.%d", i+1))
	}
	for i := range n {
		z := zones[i%len(zones)]
		w.hosts = append(w.hosts, newHost(w.dir, fmt.Sprintf("edge-%s-%d", z[0], i+1), z[0], z[1], fmt.Sprintf("127.0.31.%d", i+1), w.ports, w.store.address(), seeds))
	}
	return nil
}

func (w *world) startHosts() error {
	for _, h := range w.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if err := h.awaitReady(w.ports, 10*time.Second); err != nil {
			return err
		}
		w.rec.add("host %s is ready", h.name)
	}
	return nil
}

func (w *world) callers(h *host) string { return fmt.Sprintf("%s:%d", h.ip, w.ports.callers) }

func (w *world) unable(err error) outcome {
	w.rec.add("error: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return unable
}

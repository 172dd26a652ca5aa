package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// crashEngines is the number of engines; one of them crashes, which is a share of 0.17.
	crashEngines = 6
	// reports is the number of streams in progress as it does, reportEvents the number of events of each.
	reports      = 12
	reportEvents = 40
	eventGap     = 150 * time.Millisecond
)

// serveEngine is a model engine as a process: it prints its address and answers streams without a length, which end with their channel.
func serveEngine(ip, id string) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(unable))
	}
	fmt.Println(l.Addr())
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go streamUnframed(c, id)
	}
}

func streamUnframed(c net.Conn, id string) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	request := r.Header.Get("Attempt-Id")
	switch {
	case strings.HasPrefix(r.URL.Path, "/tarragonspur/kv-move"):
		// There is no room for copies.
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return
	case strings.HasPrefix(r.URL.Path, "/tarragonspur/"):
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return
	case r.Header.Get("Kv-From") != "":
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", request)
		return
	}
	_, usage, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	tokens, _ := strconv.Atoi(usage)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nResponse-Signature: s-%s\r\nWeight-Versions: 1\r\nConnection: close\r\n\r\n", request, id, request)
	for n := range tokens / 4 {
		time.Sleep(eventGap)
		if _, err := fmt.Fprintf(c, "id: %d\ndata: piece %d of %s\n\n", n, n, request); err != nil {
			return
		}
	}
}

// engineProcess is an engine that runs as a process.
type engineProcess struct {
	id  string
	cmd *exec.Cmd
}

func startEngine(st *store, ip, id, zone string) (*engineProcess, error) {
	cmd := exec.Command(os.Args[0], "engine", ip, id)
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	address, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return nil, err
	}
	st.put("servers", id, map[string]any{
		"service": "model", "address": strings.TrimSpace(address), "zone": zone, "version": "v1", "slots": 32, "state": "healthy", "coldRemainingMs": 0,
		"sequence": 1, "born": time.Now().UnixMilli(), "stage": "hybrid", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	})
	return &engineProcess{id, cmd}, nil
}

func (e *engineProcess) kill() {
	_ = e.cmd.Process.Kill()
	_ = e.cmd.Wait()
}

// crash kills an engine in the middle of its answers, which have no length.
func crash(w *world) outcome {
	if err := w.begin(2, 0); err != nil {
		return w.unable(err)
	}
	w.store.put("config", "main", manifest(1, "k1"))
	var engines []*engineProcess
	defer func() {
		for _, e := range engines {
			e.kill()
		}
	}()
	for i := range crashEngines {
		e, err := startEngine(w.store, fmt.Sprintf("127.0.32.%d", i+1), fmt.Sprintf("i-m%d", i+1), []string{"z1", "z3", "z2"}[i%3])
		if err != nil {
			return w.unable(err)
		}
		engines = append(engines, e)
	}
	if err := w.startHosts(); err != nil {
		return w.unable(err)
	}
	// Both hosts are in touch.
	time.Sleep(5 * time.Second)
	replies := make([]reply, reports)
	var all sync.WaitGroup
	for i := range reports {
		all.Add(1)
		go func() {
			defer all.Done()
			usage := fmt.Sprintf("Token-Usage: 1000,%d", 4*reportEvents)
			parts := fmt.Sprintf("Prefix-Hash: aa%d:60,bb%d:940", i%4, i)
			name := fmt.Sprintf("report-%d", i)
			w.rec.add("%s is sent to %s", name, w.hosts[i%2].name)
			replies[i] = send(w.callers(w.hosts[i%2]), "POST", "/report/1", name, "k1", 39*time.Second, []string{"Model: m", usage, parts}, []byte(name))
		}()
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	if w.isTrouble {
		// Each engine has some of the reports.
		engines[0].kill()
		w.rec.add("engine %s crashes", engines[0].id)
	}
	all.Wait()
	short := 0
	for i, r := range replies {
		events := strings.Count(r.body, "\ndata: ")
		w.rec.add("report-%d: %s, %d of %d events, headers of %s", i, r, events, reportEvents, r.instance)
		if r.err == nil && r.status == http.StatusOK && events < reportEvents {
			short++
			w.rec.add("report-%d ends as complete after %d of %d events", i, events, reportEvents)
		}
	}
	if short > 0 {
		return broken
	}
	return held
}

package config

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"
)

const (
	hashHexLength = 64
	maxNameLength = 63
)

// operatorScopes lists the scopes that an operator's key may have.
var operatorScopes = [...]string{"read", "table", "domains"}

// checker collects the violations that a check finds.
type checker struct{ violations Faults }

// require records a violation at path, a format for args, unless ok.
func (c *checker) require(ok bool, want, path string, args ...any) {
	if ok {
		return
	}
	c.violations = append(c.violations, Fault{Path: fmt.Sprintf(path, args...), Want: want})
}

func (c *checker) err() error {
	if len(c.violations) == 0 {
		return nil
	}
	return c.violations
}

// Check returns every invalid field of the settings as Faults, or nil.
func (s *Settings) Check() error {
	var c checker
	c.require(isName(s.Host), "a name of lower-case letters, digits and hyphens", "host")
	c.require(isName(s.Domain), "the name of the host's failure domain", "domain")
	c.require(isName(s.Region), "the name of the host's region", "region")
	addresses := []struct {
		path string
		addr netip.AddrPort
	}{
		{"callers", s.Callers},
		{"peers", s.Peers},
		{"metrics", s.Metrics},
		{"store", s.Store},
	}
	for _, a := range addresses {
		c.require(a.addr.IsValid(), "an address and port such as \"10.0.0.1:8080\"", "%s", a.path)
	}
	if s.Platform == nil {
		c.require(s.Operators.IsValid(), "an address and port such as \"10.0.0.1:8080\"", "operators")
	} else {
		s.Platform.check(&c)
	}
	for i, k := range s.OperatorKeys {
		c.require(isName(k.Name), "a name", "operator_keys[%d].name", i)
		c.require(isHash(k.Hash), "a SHA-256 in lower-case hexadecimal", "operator_keys[%d].hash", i)
		for j, scope := range k.Scopes {
			c.require(slices.Contains(operatorScopes[:], scope), "read, table or domains", "operator_keys[%d].scopes[%d]", i, j)
		}
	}
	c.require(s.Limits.BodyBytes > 0, "a positive number of bytes", "limits.body_bytes")
	c.require(s.Limits.HeaderBytes > 0, "a positive number of bytes", "limits.header_bytes")
	c.require(s.Limits.Connections > 0, "a positive number", "limits.connections")
	c.require(s.Limits.HeadsBytes >= 0, "a number of bytes, or 0", "limits.heads_bytes")
	c.require(s.Limits.OpenHeads >= 0, "zero or more", "limits.open_heads")
	c.require(s.Limits.HeadLines > 0, "a positive number", "limits.head_lines")
	c.require(s.Limits.BlankLines >= 0, "zero or more", "limits.blank_lines")
	durations := []struct {
		path string
		d    Duration
	}{
		{"limits.wait", s.Limits.Wait},
		{"limits.call", s.Limits.Call},
		{"limits.header_read", s.Limits.HeaderRead},
		{"limits.body_read", s.Limits.BodyRead},
		{"limits.reader_stall", s.Limits.ReaderStall},
		{"timing.heartbeat", s.Timing.Heartbeat},
		{"timing.load_poll", s.Timing.LoadPoll},
		{"timing.silence", s.Timing.Silence},
		{"timing.drain_limit", s.Timing.DrainLimit},
	}
	for _, d := range durations {
		c.require(time.Duration(d.d) > 0, "a positive duration such as \"2s\"", "%s", d.path)
	}
	c.require(s.Timing.BalancerLag >= 0, "a duration of zero or more", "timing.balancer_lag")
	all := s.TLS.CertFile != "" && s.TLS.KeyFile != "" && s.TLS.CAFile != ""
	none := s.TLS == TLS{}
	c.require(all || none, "cert_file, key_file and ca_file together, or none", "tls")
	return c.err()
}

// Check returns every invalid field of the table as Faults, or nil.
func (t *Table) Check() error {
	var c checker
	services := t.checkServices(&c)
	workspaces := t.checkWorkspaces(&c)
	t.checkBackends(&c, services)
	t.checkRows(&c, services, workspaces)
	return c.err()
}

// checkServices returns the kind of each service by its name.
func (t *Table) checkServices(c *checker) map[string]ServiceKind {
	kinds := make(map[string]ServiceKind, len(t.Services))
	for i, s := range t.Services {
		_, duplicate := kinds[s.Name]
		c.require(isName(s.Name), "a name of lower-case letters, digits and hyphens", "services[%d].name", i)
		c.require(!duplicate, "a name that no other service has", "services[%d].name", i)
		c.require(s.Kind == ServiceModel || s.Kind == ServicePlain, "\"model\" or \"plain\"", "services[%d].kind", i)
		c.require(s.Kind != ServiceModel || s.Model != "", "the name of the model", "services[%d].model", i)
		c.require(s.Orders == nil || s.Kind == ServiceModel, "orders for a model service only", "services[%d].orders", i)
		if s.Orders != nil {
			c.require(s.Orders.LoadsPerMinute >= 0, "zero or more", "services[%d].orders.loads_per_minute", i)
			c.require(s.Orders.AtOnce >= 0, "zero or more", "services[%d].orders.at_once", i)
		}
		c.require(s.AdapterSlots >= 0, "zero or more", "services[%d].adapter_slots", i)
		kinds[s.Name] = s.Kind
	}
	return kinds
}

// checkWorkspaces returns the set of the workspaces' names.
func (t *Table) checkWorkspaces(c *checker) map[string]bool {
	seen := make(map[string]bool, len(t.Workspaces))
	for i, w := range t.Workspaces {
		c.require(isName(w.Name), "a name of lower-case letters, digits and hyphens", "workspaces[%d].name", i)
		c.require(!seen[w.Name], "a name that no other workspace has", "workspaces[%d].name", i)
		for j, h := range w.KeyHashes {
			c.require(isHash(h), "a SHA-256 in lower-case hexadecimal", "workspaces[%d].key_hashes[%d]", i, j)
		}
		seen[w.Name] = true
	}
	return seen
}

func (t *Table) checkBackends(c *checker, services map[string]ServiceKind) {
	seen := make(map[string]bool, len(t.Backends))
	for i, b := range t.Backends {
		kind, known := services[b.Service]
		c.require(isName(b.Name), "a name of lower-case letters, digits and hyphens", "backends[%d].name", i)
		c.require(!seen[b.Name], "a name that no other backend server has", "backends[%d].name", i)
		c.require(known, "the name of a service in the table", "backends[%d].service", i)
		c.require(isName(b.Domain), "the name of a failure domain", "backends[%d].domain", i)
		c.require(b.Address.IsValid(), "an address and port", "backends[%d].address", i)
		c.require(b.MaxRunning > 0, "a positive number", "backends[%d].max_running", i)
		c.require(b.ColdRunning >= 0 && b.ColdRunning <= b.MaxRunning, "zero to max_running", "backends[%d].cold_running", i)
		c.require(kind != ServiceModel || b.MemoryTokens > 0, "a positive number of tokens", "backends[%d].memory_tokens", i)
		seen[b.Name] = true
	}
}

func (t *Table) checkRows(c *checker, services map[string]ServiceKind, workspaces map[string]bool) {
	type pair struct{ workspace, service string }
	seen := make(map[pair]bool, len(t.Rows))
	for i, r := range t.Rows {
		_, known := services[r.Service]
		p := pair{r.Workspace, r.Service}
		c.require(workspaces[r.Workspace], "the name of a workspace in the table", "rows[%d].workspace", i)
		c.require(known, "the name of a service in the table", "rows[%d].service", i)
		c.require(!seen[p], "one row for each workspace and service", "rows[%d]", i)
		c.require(r.Weight > 0 && !math.IsInf(r.Weight, 0), "a positive number", "rows[%d].weight", i)
		c.require(r.MaxRunning >= 0, "zero or more", "rows[%d].max_running", i)
		c.require(r.TokensPerSecond >= 0, "zero or more", "rows[%d].tokens_per_second", i)
		c.require(r.MaxWaiting >= 0, "zero or more", "rows[%d].max_waiting", i)
		c.require(r.MaxOutputTokens >= 0, "zero or more", "rows[%d].max_output_tokens", i)
		seen[p] = true
	}
}

// isName reports whether s is 1 to maxNameLength lower-case letters, digits and hyphens.
func isName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for _, r := range s {
		lower := r >= 'a' && r <= 'z'
		digit := r >= '0' && r <= '9'
		if !lower && !digit && r != '-' {
			return false
		}
	}
	return true
}

func isHash(s string) bool {
	if len(s) != hashHexLength {
		return false
	}
	_, err := hex.DecodeString(s)
	return err == nil
}

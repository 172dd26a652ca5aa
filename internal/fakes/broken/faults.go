package broken

// Fault breaks an answer.
type Fault struct {
	Name string
	// Apply returns a sound answer with the fault.
	Apply func(answer string) string
}

const (
	versionBytes = len("HTTP/1.1 ")
	statusBytes  = len("200")
)

// Faults returns all faults of this package.
func Faults() []Fault { return StatusFaults() }

// StatusFaults returns faults that make the status, or that of an interim answer, one that HTTP does not have.
func StatusFaults() []Fault {
	var faults []Fault
	for _, status := range []string{"000", "001", "099", "600", "999", "-00", "+20"} {
		faults = append(faults, Fault{"status " + status, func(answer string) string {
			return answer[:versionBytes] + status + answer[versionBytes+statusBytes:]
		}})
	}
	return append(
		faults,
		before("an interim answer with status 000", "HTTP/1.1 000 Early Hints\r\n\r\n"),
		before("an interim answer with status 099", "HTTP/1.1 099 Early Hints\r\n\r\n"),
		before("a change of protocols that was not asked for", "HTTP/1.1 101 Switching Protocols\r\n\r\n"),
		before("a change of protocols that was not asked for, by name", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"),
	)
}

// before returns a fault that sends a text before the answer.
func before(name, text string) Fault {
	return Fault{name, func(answer string) string { return text + answer }}
}

package broken

import "strings"

// Fault breaks an answer.
type Fault struct {
	Name string
	// Apply returns a sound answer with the fault.
	Apply func(answer string) string
}

const (
	versionBytes = len("HTTP/1.1 ")
	statusBytes  = len("200")
	lineBreak    = "\r\n"
	endOfHead    = lineBreak + lineBreak
)

// Faults returns all faults of this package.
func Faults() []Fault { return append(StatusFaults(), NameFaults()...) }

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

// NameFaults returns faults that make the name of a field, or that of a field of an interim answer, one that HTTP does not have.
func NameFaults() []Fault {
	return []Fault{
		field("a blank in a name", "X Odd: 1"),
		field("a blank after a name", "X-Odd : 1"),
		field("a blank before a name", "X-First: 1\r\n X-Odd: 1"),
		field("a tab in a name", "X\tOdd: 1"),
		field("a tab after a name", "X-Odd\t: 1"),
		field("a tab before a name", "X-First: 1\r\n\tX-Odd: 1"),
		field("a line of blanks", "X-First: 1\r\n  "),
		field("a control byte in a name", "X\x01Odd: 1"),
		field("a zero byte in a name", "X\x00Odd: 1"),
		field("a delete byte in a name", "X\x7fOdd: 1"),
		field("a carriage return in a name", "X\rOdd: 1"),
		field("a carriage return before a name", "\rX-Odd: 1"),
		field("a line feed in a name", "X\nOdd: 1"),
		field("a byte beyond ASCII in a name", "X\xe9Odd: 1"),
		field("an empty name", ": 1"),
		framing("a blank after the name of the length or the encoding", func(name string) string { return name + " " }),
		framing("a blank before the name of the length or the encoding", func(name string) string { return "X-First: 1\r\n " + name }),
		before("a blank in a name of an interim answer", "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n"),
		before("a control byte in a name of an interim answer", "HTTP/1.1 103 Early Hints\r\nX\x01Odd: 1\r\n\r\n"),
		before("a blank before a name of an interim answer", "HTTP/1.1 103 Early Hints\r\nX-First: 1\r\n X-Odd: 1\r\n\r\n"),
	}
}

// field returns a fault that adds a line to the end of the head.
func field(name, line string) Fault {
	return Fault{name, func(answer string) string {
		return strings.Replace(answer, endOfHead, lineBreak+line+endOfHead, 1)
	}}
}

// framing returns a fault that changes the name of the field that says where the body ends, and that sends more bytes after the body.
func framing(name string, change func(name string) string) Fault {
	return Fault{name, func(answer string) string {
		for _, field := range []string{"Content-Length", "Transfer-Encoding"} {
			answer = strings.Replace(answer, field+":", change(field)+":", 1)
		}
		return answer + "more"
	}}
}

// before returns a fault that sends a text before the answer.
func before(name, text string) Fault {
	return Fault{name, func(answer string) string { return text + answer }}
}

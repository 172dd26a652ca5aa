package cause

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// explain describes what led to the request's outcome.
func (q *analysis) explain() string {
	end, ok := q.lastLine("request ended")
	if !ok {
		return q.explainMissingOutcome()
	}
	switch end.Fields["outcome"] {
	case "cut":
		return q.explainCut(end)
	case "refused":
		return q.explainRefusal(end)
	case "failed":
		return q.explainFailure(end)
	case "caller gone":
		return fmt.Sprintf("the caller closed its connection after %s", end.Fields["took"])
	default:
		return q.explainAnswer(end)
	}
}

// explainMissingOutcome explains a request without a logged outcome.
func (q *analysis) explainMissingOutcome() string {
	from := q.requestLines[0].At
	for _, l := range q.hostLines {
		if l.At.Before(from) {
			continue
		}
		switch l.Message {
		case "host stops":
			q.addEvidence(l)
			return "the host was stopped and ended before the request did"
		case "host serves":
			q.addEvidence(l)
			return fmt.Sprintf("the host ended without a word while the request was in progress; it started again at %s", l.At.Format(time.TimeOnly))
		}
	}
	return "the host has not written an outcome: the request is in progress, or the host ended without a word"
}

// explainCut explains a stream that ended incomplete.
func (q *analysis) explainCut(end Line) string {
	if l, ok := q.activeSince("host stops", "host serves", end.At); ok && strings.Contains(end.Fields["error"], "the host stopped") {
		q.addEvidence(l)
		return fmt.Sprintf("the host was stopped %.1f s before, and the stream lasted beyond the grace period: %s", end.At.Sub(l.At).Seconds(), end.Fields["error"])
	}
	broke, ok := q.lastLine("stream broke")
	if ended, moved := q.lastLine("backend server closed the connection on request"); moved && (!ok || broke.At.Before(ended.At)) {
		return fmt.Sprintf("backend server %s, which leaves, ended the run after event %s; %s", ended.Fields["server"], ended.Fields["last_event"], q.whyNotMoved(ended))
	}
	if !ok {
		return "the stream ended at the host: " + end.Fields["error"]
	}
	server := broke.Fields["server"]
	return fmt.Sprintf("backend server %s broke the stream after event %s; %s; %s",
		server, broke.Fields["last_event"], q.whyBroke(server, broke), q.whyNotResumed(broke))
}

// whyNotMoved describes why the stream did not go on at the copy for which its run ended.
func (q *analysis) whyNotMoved(ended Line) string {
	if l, ok := q.lastLine("stream could not go on elsewhere"); ok && !l.At.Before(ended.At) {
		q.addEvidence(l)
		return "the copy at " + l.Fields["server"] + " could not go on: " + l.Fields["error"]
	}
	return "no line tells what became of its copy"
}

// whyBroke describes which notices of a backend server's shutdown the host or others had received.
func (q *analysis) whyBroke(server string, broke Line) string {
	from := q.requestLines[0].At.Add(-noticeWindow)
	if l, ok := findNotice(q.hostLines, server, from, broke.At); ok {
		q.addEvidence(l)
		return fmt.Sprintf("the host had heard %.1f s before that it leaves", broke.At.Sub(l.At).Seconds())
	}
	if l, ok := q.activeSince("store lost", "store regained", broke.At); ok {
		q.addEvidence(l)
		return fmt.Sprintf("no notice could reach the host, which had lost the store %.1f s before", broke.At.Sub(l.At).Seconds())
	}
	if l, ok := findNotice(q.otherLines, server, from, broke.At); ok {
		q.addEvidence(l)
		return fmt.Sprintf("host %s had heard before that it leaves, this one had not", l.Host)
	}
	if l, ok := findNotice(append(q.hostLines, q.otherLines...), server, broke.At, broke.At.Add(noticeWindow)); ok {
		q.addEvidence(l)
		return "it ended without a notice; its entry went afterwards"
	}
	return "nothing tells of its end: it crashed, or only the connection broke"
}

// whyNotResumed describes why the stream was not resumed from a copy.
func (q *analysis) whyNotResumed(broke Line) string {
	if l, ok := q.lastLine("copy could not go on"); ok {
		return "the copy at " + l.Fields["server"] + " could not go on: " + l.Fields["error"]
	}
	if l, ok := q.lastLine("stream could not go on elsewhere"); ok && !l.At.Before(broke.At) {
		return "it could not go on elsewhere: " + l.Fields["error"]
	}
	if q.count("copy on demand asked for") > q.count("copy on demand failed")+q.count("run copied on demand") {
		l, _ := q.lastLine("copy on demand asked for")
		return fmt.Sprintf("its copy to %s, asked for %.1f s before, was not complete", l.Fields["to"], broke.At.Sub(l.At).Seconds())
	}
	if l, ok := q.lastLine("copy on demand failed"); ok {
		return "its last copy, to " + l.Fields["to"] + ", failed: " + l.Fields["error"]
	}
	if l, ok := q.lastLine("no place for a copy"); ok {
		return fmt.Sprintf("no other backend server of region %s could hold a copy of %s tokens", l.Fields["region"], l.Fields["tokens"])
	}
	if _, ok := q.lastLine("run copied on demand"); ok {
		return "the copy had been used before"
	}
	return "no copy had been made"
}

// explainRefusal explains a request that did not run.
func (q *analysis) explainRefusal(end Line) string {
	code, message, _ := strings.Cut(end.Fields["error"], ": ")
	switch code {
	case "store_unavailable":
		if end.Fields["table"] == "0" {
			return q.explainMissingTable(end, message)
		}
		if l, ok := q.activeSince("store lost", "store regained", end.At); ok {
			q.addEvidence(l)
			return fmt.Sprintf("%s: it was last confirmed %s before, and the store was lost", message, end.Fields["table_age"])
		}
		return fmt.Sprintf("%s: it was last confirmed %s before", message, end.Fields["table_age"])
	case "overloaded":
		return q.explainOverload(message)
	case "no_backend":
		return q.explainNoBackend(end, message)
	case "draining":
		if l, ok := q.activeSince("host stops", "host serves", end.At); ok {
			q.addEvidence(l)
		}
		return message
	default:
		return fmt.Sprintf("%s, by version %s of the table", message, end.Fields["table"])
	}
}

// explainMissingTable explains a refusal by a host that had not received a routing table since its start.
func (q *analysis) explainMissingTable(end Line, message string) string {
	l, ok := q.activeSince("host serves", "", end.At)
	if !ok {
		return message
	}
	q.addEvidence(l)
	return fmt.Sprintf("%s: the host had started %.1f s before", message, end.At.Sub(l.At).Seconds())
}

// explainOverload explains a refusal by the queue of the request's host.
func (q *analysis) explainOverload(message string) string {
	if l, ok := q.lastLine("request beyond the servers' limits"); ok {
		return q.explainStatements(l, message)
	}
	l, ok := q.lastLine("wait ended")
	if !ok {
		return message
	}
	return fmt.Sprintf("%s: after %s at its host %s requests waited, %s a second arrived and %s a second were started; its caller was to return after %s",
		message, l.Fields["waited"], l.Fields["waiting"], l.Fields["arrivals_per_s"], l.Fields["starts_per_s"], l.Fields["retry_after"])
}

// explainStatements explains a refusal because of what the servers of the request's service have stated of themselves.
func (q *analysis) explainStatements(refused Line, message string) string {
	stated := make(map[string]Line)
	for _, l := range q.hostLines {
		if l.Fields["service"] != refused.Fields["service"] || l.At.After(refused.At) {
			continue
		}
		switch l.Message {
		case "backend server states a limit", "backend server wants no requests", "backend server states that it leaves":
			stated[l.Fields["server"]] = l
		case "backend server's limit ended":
			delete(stated, l.Fields["server"])
		}
	}
	var said []string
	for _, server := range slices.Sorted(maps.Keys(stated)) {
		l := stated[server]
		q.addEvidence(l)
		what := "leaves"
		switch {
		case l.Fields["per_s"] != "":
			what = "takes " + l.Fields["per_s"] + " a second from all hosts"
		case l.Fields["for"] != "":
			what = "wants nothing for " + l.Fields["for"]
		}
		said = append(said, server+" "+what)
	}
	return fmt.Sprintf("%s: %s; the next send from this host was due after %s", message, strings.Join(said, ", "), refused.Fields["wait"])
}

func (q *analysis) explainNoBackend(end Line, message string) string {
	if refused, ok := q.lastLine("request quarantined"); ok {
		return q.explainQuarantine(refused, message)
	}
	if n := q.count("send failed"); n > 0 {
		l, _ := q.lastLine("send failed")
		return fmt.Sprintf("%s: %d could not be reached, the last with: %s", message, n, l.Fields["error"])
	}
	if l, ok := q.lastLine("request sent again"); ok {
		return fmt.Sprintf("%s: %s sends were not run, one with: %s", message, end.Fields["sends"], l.Fields["error"])
	}
	if l, ok := q.activeSince("failure domains out", "", end.At); ok && l.Fields["domains"] != "[]" {
		q.addEvidence(l)
		return message + ": failure domains are out"
	}
	if end.Fields["sends"] == "0" {
		return message + ": none of those that may take it was open"
	}
	return fmt.Sprintf("%s: the %s that were asked did not run it", message, end.Fields["sends"])
}

// explainQuarantine explains a refusal because of a key that the request holds.
func (q *analysis) explainQuarantine(refused Line, message string) string {
	key := refused.Fields["key"]
	for _, l := range slices.Backward(q.hostLines) {
		if l.Message == "key quarantined" && l.Fields["key"] == key && !l.At.After(refused.At) {
			q.addEvidence(l)
			return fmt.Sprintf("%s: servers %s crashed under requests with key %s; its caller was to return after %s",
				message, l.Fields["servers"], key, refused.Fields["retry_after"])
		}
	}
	return fmt.Sprintf("%s: key %s", message, key)
}

// explainFailure explains a request that may have run and was not answered.
func (q *analysis) explainFailure(end Line) string {
	code, message, _ := strings.Cut(end.Fields["error"], ": ")
	if l, ok := q.lastLine("send failed"); ok {
		server := l.Fields["server"]
		return fmt.Sprintf("%s: %s of backend server %s; %s", message, l.Fields["error"], server, q.whyBroke(server, l))
	}
	if l, ok := q.lastLine("stream broke"); ok {
		server := l.Fields["server"]
		return fmt.Sprintf("%s: the stream broke before its first event; %s", message, q.whyBroke(server, l))
	}
	if code == "timeout" {
		return fmt.Sprintf("%s: it was sent to %s backend servers and none answered within %s", message, end.Fields["sends"], end.Fields["took"])
	}
	return end.Fields["error"]
}

// explainAnswer explains a complete answer: a failure of the backend server, a late answer or one on time.
func (q *analysis) explainAnswer(end Line) string {
	if strings.HasPrefix(end.Fields["status"], "5") {
		return fmt.Sprintf("backend server %s failed it by itself with status %s, after %s runs", end.Fields["server"], end.Fields["status"], end.Fields["runs"])
	}
	sent, isStream := q.lastLine("stream sent")
	switch end.Fields["late"] {
	case "first event":
		waited := ""
		if l, ok := q.lastLine("wait ended"); ok {
			waited = fmt.Sprintf(", after it had waited %s at its host since all backend servers were busy", l.Fields["waited"])
		}
		return fmt.Sprintf("the first event came after %s; when it was sent to %s%s, %s prompt tokens were not read there and %s tokens of memory were held",
			end.Fields["first_event"], sent.Fields["server"], waited, sent.Fields["pending"], sent.Fields["held"])
	case "pause":
		if end.Fields["moves"] == "0" {
			return fmt.Sprintf("a pause of %s before event %s at backend server %s, which had put the run back", end.Fields["longest_gap"], end.Fields["gap_before"], end.Fields["server"])
		}
		return fmt.Sprintf("a pause of %s before event %s, in %s moves to other backend servers; %s prompt tokens were not read at the last when the run went there",
			end.Fields["longest_gap"], end.Fields["gap_before"], end.Fields["moves"], sent.Fields["pending"])
	case "answer":
		return fmt.Sprintf("the answer took %s with %s sends", end.Fields["took"], end.Fields["sends"])
	}
	if isStream {
		return "answered on time"
	}
	return "answered on time by backend server " + end.Fields["server"]
}

package cause

import (
	"fmt"
	"strings"
	"time"
)

// cause says what led to the request's outcome.
func (q *inquiry) cause() string {
	end, ok := q.last("request ended")
	if !ok {
		return q.hostEnded()
	}
	switch end.Fields["outcome"] {
	case "cut":
		return q.cut(end)
	case "refused":
		return q.refused(end)
	case "failed":
		return q.failed(end)
	case "caller gone":
		return fmt.Sprintf("the caller closed its connection after %s", end.Fields["took"])
	default:
		return q.answered(end)
	}
}

// hostEnded explains a request whose host wrote no outcome.
func (q *inquiry) hostEnded() string {
	from := q.own[0].At
	for _, l := range q.beliefs {
		if l.At.Before(from) {
			continue
		}
		switch l.Message {
		case "host stops":
			q.show(l)
			return "the host was stopped and ended before the request did"
		case "host serves":
			q.show(l)
			return fmt.Sprintf("the host ended without a word while the request was in progress; it started again at %s", l.At.Format(time.TimeOnly))
		}
	}
	return "the host has not written an outcome: the request is in progress, or the host ended without a word"
}

// cut explains a stream that ended in the middle.
func (q *inquiry) cut(end Line) string {
	broke, ok := q.last("stream broke")
	if !ok {
		return "the stream ended at the host: " + end.Fields["error"]
	}
	server := broke.Fields["server"]
	return fmt.Sprintf("backend server %s broke the stream after event %s; %s; %s",
		server, broke.Fields["last_event"], q.whyBroke(server, broke), q.whyNotResumed(broke))
}

// whyBroke says what the host knew of the end of a backend server.
func (q *inquiry) whyBroke(server string, broke Line) string {
	from := q.own[0].At.Add(-around)
	if l, ok := notice(q.beliefs, server, from, broke.At); ok {
		q.show(l)
		return fmt.Sprintf("the host had heard %.1f s before that it leaves", broke.At.Sub(l.At).Seconds())
	}
	if l, ok := q.since("store lost", "store regained", broke.At); ok {
		q.show(l)
		return fmt.Sprintf("no notice could reach the host, which had lost the store %.1f s before", broke.At.Sub(l.At).Seconds())
	}
	if l, ok := notice(q.others, server, from, broke.At); ok {
		q.show(l)
		return fmt.Sprintf("host %s had heard before that it leaves, this one had not", l.Host)
	}
	if l, ok := notice(append(q.beliefs, q.others...), server, broke.At, broke.At.Add(around)); ok {
		q.show(l)
		return "it ended without a notice; its entry went afterwards"
	}
	return "nothing tells of its end: it crashed, or only the connection broke"
}

// whyNotResumed says why the stream did not go on at a copy.
func (q *inquiry) whyNotResumed(broke Line) string {
	if l, ok := q.last("copy could not go on"); ok {
		return "the copy at " + l.Fields["server"] + " could not go on: " + l.Fields["error"]
	}
	if l, ok := q.last("stream could not go on elsewhere"); ok && !l.At.Before(broke.At) {
		return "it could not go on elsewhere: " + l.Fields["error"]
	}
	if q.count("copy on demand asked for") > q.count("copy on demand failed")+q.count("run copied on demand") {
		l, _ := q.last("copy on demand asked for")
		return fmt.Sprintf("its copy to %s, asked for %.1f s before, was not complete", l.Fields["to"], broke.At.Sub(l.At).Seconds())
	}
	if l, ok := q.last("copy on demand failed"); ok {
		return "its last copy, to " + l.Fields["to"] + ", failed: " + l.Fields["error"]
	}
	if l, ok := q.last("no place for a copy"); ok {
		return fmt.Sprintf("no other backend server of region %s could hold a copy of %s tokens", l.Fields["region"], l.Fields["tokens"])
	}
	if _, ok := q.last("run copied on demand"); ok {
		return "the copy had been used before"
	}
	return "no copy had been made"
}

// refused explains a request that did not run.
func (q *inquiry) refused(end Line) string {
	code, message, _ := strings.Cut(end.Fields["error"], ": ")
	switch code {
	case "store_unavailable":
		if end.Fields["table"] == "0" {
			return q.noTable(end, message)
		}
		if l, ok := q.since("store lost", "store regained", end.At); ok {
			q.show(l)
			return fmt.Sprintf("%s: it was last confirmed %s before, and the store was lost", message, end.Fields["table_age"])
		}
		return fmt.Sprintf("%s: it was last confirmed %s before", message, end.Fields["table_age"])
	case "no_backend":
		return q.noBackend(end, message)
	case "draining":
		if l, ok := q.since("host stops", "host serves", end.At); ok {
			q.show(l)
		}
		return message
	default:
		return fmt.Sprintf("%s, by version %s of the table", message, end.Fields["table"])
	}
}

// noTable explains a refusal by a host that had not read the store since its start.
func (q *inquiry) noTable(end Line, message string) string {
	l, ok := q.since("host serves", "", end.At)
	if !ok {
		return message
	}
	q.show(l)
	return fmt.Sprintf("%s: the host had started %.1f s before", message, end.At.Sub(l.At).Seconds())
}

func (q *inquiry) noBackend(end Line, message string) string {
	if n := q.count("send failed"); n > 0 {
		l, _ := q.last("send failed")
		return fmt.Sprintf("%s: %d could not be reached, the last with: %s", message, n, l.Fields["error"])
	}
	if l, ok := q.last("request sent again"); ok {
		return fmt.Sprintf("%s: %s sends were not run, one with: %s", message, end.Fields["sends"], l.Fields["error"])
	}
	if l, ok := q.since("failure domains out", "", end.At); ok && l.Fields["domains"] != "[]" {
		q.show(l)
		return message + ": failure domains are out"
	}
	if end.Fields["sends"] == "0" {
		return message + ": none of those that may take it was open"
	}
	return fmt.Sprintf("%s: the %s that were asked did not run it", message, end.Fields["sends"])
}

// failed explains a request that may have run and has no answer.
func (q *inquiry) failed(end Line) string {
	code, message, _ := strings.Cut(end.Fields["error"], ": ")
	if l, ok := q.last("send failed"); ok {
		server := l.Fields["server"]
		return fmt.Sprintf("%s: %s of backend server %s; %s", message, l.Fields["error"], server, q.whyBroke(server, l))
	}
	if l, ok := q.last("stream broke"); ok {
		server := l.Fields["server"]
		return fmt.Sprintf("%s: the stream broke before its first event; %s", message, q.whyBroke(server, l))
	}
	if code == "timeout" {
		return fmt.Sprintf("%s: it was sent to %s backend servers and none answered within %s", message, end.Fields["sends"], end.Fields["took"])
	}
	return end.Fields["error"]
}

// answered explains a whole answer: a failure of the backend server's own, a late one, or one on time.
func (q *inquiry) answered(end Line) string {
	if strings.HasPrefix(end.Fields["status"], "5") {
		return fmt.Sprintf("backend server %s failed it by itself with status %s, after %s runs", end.Fields["server"], end.Fields["status"], end.Fields["runs"])
	}
	sent, isStream := q.last("stream sent")
	switch end.Fields["late"] {
	case "first event":
		return fmt.Sprintf("the first event came after %s; when it was sent to %s, %s prompt tokens were not read there and %s tokens of memory were held",
			end.Fields["first_event"], sent.Fields["server"], sent.Fields["pending"], sent.Fields["held"])
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

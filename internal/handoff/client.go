package handoff

import (
	"fmt"
	"net"
)

// Request sends a tool's message to the supervisor that listens at the socket, and returns
// its final report. It passes the note of each report to progress, unless that is nil.
func Request(socketPath string, message *Message, progress func(note string)) (*Message, error) {
	socket, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: socketPath, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("no supervisor answers: %w", err)
	}
	conn := NewConn(socket)
	defer conn.Close()
	if err := conn.Send(message); err != nil {
		return nil, err
	}
	for {
		report, err := conn.Receive()
		if err != nil {
			return nil, fmt.Errorf("supervisor disconnected before its final report: %w", err)
		}
		if report.Note != "" && progress != nil {
			progress(report.Note)
		}
		if report.Final {
			return report, nil
		}
	}
}

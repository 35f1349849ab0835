package handoff

import (
	"fmt"
	"net"
)

// Request sends a tool's message to the supervisor that listens at a socket, and returns
// its final report. Notes on the way go to progress, if that is not nil.
func Request(socket string, m *Message, progress func(note string)) (*Message, error) {
	sock, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: socket, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("no supervisor answers: %w", err)
	}
	conn := NewConn(sock)
	defer conn.Close()
	if err := conn.Send(m); err != nil {
		return nil, err
	}
	for {
		report, err := conn.Receive()
		if err != nil {
			return nil, fmt.Errorf("the supervisor is gone: %w", err)
		}
		if report.Note != "" && progress != nil {
			progress(report.Note)
		}
		if report.Final {
			return report, nil
		}
	}
}

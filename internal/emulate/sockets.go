package emulate

import (
	"context"
	"errors"

	"quilldoor/internal/script"
)

// Routers are the processes to play against.
type Routers struct {
	Program string
}

// Sockets plays a script on loopback.
func Sockets(ctx context.Context, s *script.Script, opt Options, r Routers) (*Result, error) {
	return nil, errors.New("not there yet")
}

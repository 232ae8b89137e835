package bwnode

import (
	"context"
	"time"

	"basilwood.example/basilwood/bwowner"
	"basilwood.example/basilwood/bwschedule"
)

// turnAdviser sends the requests of the pools that a node owns one after the other. The policy service handles the
// calls of one host in turn, so that tickets would lose lifetime while a call waits there.
type turnAdviser struct {
	adviser bwowner.Adviser
	// turn is held during a call.
	turn chan struct{}
}

func newTurnAdviser(adviser bwowner.Adviser) *turnAdviser {
	return &turnAdviser{adviser: adviser, turn: make(chan struct{}, 1)}
}

// Advise implements bwowner.Adviser.
func (a *turnAdviser) Advise(ctx context.Context, q bwschedule.AdviceRequest) (bwschedule.Advice, error) {
	requestedAt := time.Now()
	select {
	case a.turn <- struct{}{}:
		defer func() { <-a.turn }()
	case <-ctx.Done():
		return bwschedule.Advice{}, ctx.Err()
	}
	sentAfter := time.Since(requestedAt)
	advice, err := a.adviser.Advise(ctx, q)
	advice.SentAfter = sentAfter
	return advice, err
}

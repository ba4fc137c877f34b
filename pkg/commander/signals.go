package commander

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// interruptible returns a context that ends with the first interrupt or
// termination signal.
func interruptible() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// gracefulThenHurried returns a context that ends with the first termination
// signal and one that ends with the second.
func gracefulThenHurried() (graceful, hurried context.Context, stop func()) {
	graceful, endGraceful := context.WithCancel(context.Background())
	hurried, endHurried := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		endGraceful()
		<-signals
		endHurried()
	}()
	stop = func() {
		signal.Stop(signals)
		endGraceful()
		endHurried()
	}
	return graceful, hurried, stop
}

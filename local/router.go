package local

import (
	"context"
	"fmt"

	"nutmeglock.example/nutmeglock"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/schema"
)

// router is a running router.
type router struct {
	stop context.CancelFunc
	// err is the error that Run returned; it is valid once ended is closed.
	err   error
	ended chan struct{}
}

func routerID(n int) string { return fmt.Sprintf("router-%d", n+1) }

func (f *Fleet) startRouter(running context.Context, n int, platformAddress string) error {
	settings := f.routerSettings(n, platformAddress)
	if f.options.Settings != nil {
		f.options.Settings(n, settings)
	}
	built, err := nutmeglock.New(running, settings,
		nutmeglock.WithLog(f.logger()), nutmeglock.WithExtensions(f.options.Extensions...))
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(running)
	r := &router{stop: stop, ended: make(chan struct{})}
	f.RouterAddresses = append(f.RouterAddresses, built.Addresses())
	f.routers = append(f.routers, r)
	go func() {
		defer close(r.ended)
		r.err = built.Run(running)
		if r.err != nil {
			f.logger().Error("router failed", "router", routerID(n), "error", r.err)
		}
	}()
	return nil
}

func (f *Fleet) routerSettings(n int, platformAddress string) *schema.RouterSettings {
	return &schema.RouterSettings{
		Id: routerID(n), DataCenter: dataCenter,
		CallerAddress: anyLoopbackPort, PeerAddress: anyLoopbackPort, AdminAddress: anyLoopbackPort,
		Platform:     &schema.PlatformSettings{Url: "http://" + platformAddress},
		FleetKey:     f.operatorKey,
		OperatorKeys: []*schema.OperatorKey{{Name: operatorName, KeySha256: note.HashKey(f.operatorKey)}},
		Sharing:      f.options.Sharing,
		StopNoticeMs: uint32(f.options.StopNotice.Milliseconds()),
	}
}

// StopRouter begins the graceful shutdown of router n, from 0.
func (f *Fleet) StopRouter(n int) { f.routers[n].stop() }

// WaitRouter waits until router n has ended and returns the error of its Run.
func (f *Fleet) WaitRouter(n int) error {
	<-f.routers[n].ended
	return f.routers[n].err
}

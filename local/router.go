package local

import (
	"context"
	"fmt"

	"nutmeglock.example/nutmeglock"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/schema"
)

// router is one running router.
type router struct {
	stop context.CancelFunc
	// err is what its Run returned, once ended is closed.
	err   error
	ended chan struct{}
}

func routerID(n int) string { return fmt.Sprintf("router-%d", n+1) }

func (f *Fleet) startRouter(running context.Context, n int, platformAddress string) error {
	settings := f.settings(n, platformAddress)
	if f.options.Settings != nil {
		f.options.Settings(n, settings)
	}
	built, err := nutmeglock.New(running, settings,
		nutmeglock.WithLog(f.log()), nutmeglock.WithExtensions(f.options.Extensions...))
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(running)
	r := &router{stop: stop, ended: make(chan struct{})}
	f.Routers = append(f.Routers, built.Addresses())
	f.routers = append(f.routers, r)
	go func() {
		defer close(r.ended)
		r.err = built.Run(running)
		if r.err != nil {
			f.log().Error("a router ended", "router", routerID(n), "error", r.err)
		}
	}()
	return nil
}

func (f *Fleet) settings(n int, platformAddress string) *schema.RouterSettings {
	return &schema.RouterSettings{
		Id: routerID(n), DataCenter: dataCenter,
		CallerAddress: anyPort, PeerAddress: anyPort, AdminAddress: anyPort,
		Platform:     &schema.PlatformSettings{Url: "http://" + platformAddress},
		FleetKey:     f.operator,
		OperatorKeys: []*schema.OperatorKey{{Name: operatorName, KeySha256: note.HashKey(f.operator)}},
		Sharing:      f.options.Sharing,
		StopNoticeMs: uint32(f.options.StopNotice.Milliseconds()),
	}
}

// Stop begins the graceful shutdown of the nth router, from 0.
func (f *Fleet) Stop(n int) { f.routers[n].stop() }

// Wait returns once the nth router has ended, with what its Run returned.
func (f *Fleet) Wait(n int) error {
	<-f.routers[n].ended
	return f.routers[n].err
}

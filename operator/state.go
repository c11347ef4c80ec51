package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/schema"
)

// currentView returns the current view, or a failure when there is none yet.
func (a *api) currentView() (*note.View, error) {
	view := a.Replica.Current()
	if view == nil {
		return nil, newRetryableFailure(http.StatusServiceUnavailable, NotReady, "this router holds no release note yet")
	}
	return view, nil
}

func (a *api) accounts(c echo.Context) error {
	view, err := a.currentView()
	if err != nil {
		return err
	}
	loads := a.State.Accounts()
	list := &schema.AccountList{Version: uint64(view.Version())}
	for _, account := range view.State().GetAccounts() {
		list.Accounts = append(list.Accounts, &schema.AccountState{
			Account: account, Load: loads[fleet.AccountID(account.GetId())],
		})
	}
	return writeJSON(c, http.StatusOK, list)
}

func (a *api) services(c echo.Context) error {
	view, err := a.currentView()
	if err != nil {
		return err
	}
	return writeJSON(c, http.StatusOK, &schema.ServiceList{Version: uint64(view.Version()), Services: view.State().GetServices()})
}

func (a *api) upstreams(c echo.Context) error {
	view, err := a.currentView()
	if err != nil {
		return err
	}
	loads := a.State.Upstreams()
	list := &schema.UpstreamList{Version: uint64(view.Version())}
	for _, upstream := range view.State().GetUpstreams() {
		list.Upstreams = append(list.Upstreams, &schema.UpstreamState{
			Upstream: upstream, Load: loads[fleet.UpstreamID(upstream.GetId())],
		})
	}
	return writeJSON(c, http.StatusOK, list)
}

func (a *api) routers(c echo.Context) error {
	return writeJSON(c, http.StatusOK, &schema.RouterList{Routers: a.State.Routers()})
}

func (a *api) state(c echo.Context) error {
	return writeJSON(c, http.StatusOK, a.State.Router())
}

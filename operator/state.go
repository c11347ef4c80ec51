package operator

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/schema"
)

// view returns what is in force here, or the failure that nothing is yet.
func (a *api) view() (*note.View, error) {
	view := a.Holder.Current()
	if view == nil {
		return nil, failedForNow(http.StatusServiceUnavailable, NotReady, "this router holds no release note yet")
	}
	return view, nil
}

func (a *api) accounts(c echo.Context) error {
	view, err := a.view()
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
	return answer(c, http.StatusOK, list)
}

func (a *api) services(c echo.Context) error {
	view, err := a.view()
	if err != nil {
		return err
	}
	return answer(c, http.StatusOK, &schema.ServiceList{Version: uint64(view.Version()), Services: view.State().GetServices()})
}

func (a *api) upstreams(c echo.Context) error {
	view, err := a.view()
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
	return answer(c, http.StatusOK, list)
}

func (a *api) routers(c echo.Context) error {
	return answer(c, http.StatusOK, &schema.RouterList{Routers: a.State.Routers()})
}

func (a *api) state(c echo.Context) error {
	return answer(c, http.StatusOK, a.State.Router())
}

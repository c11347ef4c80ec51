package router

import (
	"time"

	"github.com/labstack/echo/v4"

	"nutmeglock.example/nutmeglock/call"
	"nutmeglock.example/nutmeglock/fleet"
	"nutmeglock.example/nutmeglock/note"
	"nutmeglock.example/nutmeglock/refusal"
	"nutmeglock.example/nutmeglock/schema"
)

// Echo context keys.
const (
	// contextArrival holds the time at which the request arrived.
	contextArrival = "arrived"
	// contextPassedToRunner marks a request whose end the Runner reports.
	contextPassedToRunner = "handed-on"
)

// reportRefusal reports a request that the router refused before it ran. It
// omits requests of unknown client accounts or for unknown services.
func (r *Router) reportRefusal(c echo.Context, reason refusal.Reason) {
	view := r.Notes.Current()
	if view == nil || c.Get(contextPassedToRunner) != nil {
		return
	}
	account, refused := r.authenticate(c.Request())
	service := requestedService(c, view)
	if refused != nil || service == nil {
		return
	}
	arrived, _ := c.Get(contextArrival).(time.Time)
	report := call.Report{
		Account: fleet.AccountID(account.GetId()), Service: fleet.ServiceID(service.GetId()),
		IsModel: fleet.ServiceKind(service.GetKind()) == fleet.Model,
		Arrived: arrived, Timeout: r.Limits.DefaultDeadline, TotalTime: r.Timer.Now().Sub(arrived),
		RefusalReason: reason,
	}
	report.NonIdempotent = c.Request().Header.Get(HeaderNonIdempotent) == "true" ||
		!report.IsModel && !isIdempotent(c.Request(), service)
	if deadline, refused := r.parseDeadline(c.Request()); refused == nil {
		report.Timeout = deadline.Sub(r.Timer.Now())
	}
	r.Observers.Ended(report)
}

// requestedService returns the service found earlier in the request, or the
// plain service named in the path. A chat completion's service is in its body,
// so it is nil until the body has been read.
func requestedService(c echo.Context, view *note.View) *schema.Service {
	if id, ok := c.Get(contextService).(string); ok {
		return view.Service(fleet.ServiceID(id))
	}
	service := view.Service(fleet.ServiceID(c.Param("service")))
	if fleet.ServiceKind(service.GetKind()) != fleet.Plain {
		return nil
	}
	return service
}

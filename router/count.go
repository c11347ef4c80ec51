package router

import (
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"
)

// contextService is the echo context key of the requested service's id.
const contextService = "service"

// countRequests counts responses by service and status class. Unknown services
// share the empty label; otherwise callers could exhaust the router's memory
// with invented names.
func (r *Router) countRequests(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		err := next(c)
		service, _ := c.Get(contextService).(string)
		r.Metrics.Requests.WithLabelValues(service, statusClass(responseStatus(c, err))).Inc()
		return err
	}
}

// responseStatus returns the HTTP status that the caller gets.
func responseStatus(c echo.Context, err error) int {
	if err == nil || c.Response().Committed {
		return c.Response().Status
	}
	return asRefusal(err).Reason.Status()
}

// statusClass returns the class of an HTTP status, such as 2xx or 4xx.
func statusClass(status int) string { return fmt.Sprintf("%dxx", status/http.StatusContinue) }

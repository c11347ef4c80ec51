package engine

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"nutmeglock.example/nutmeglock/standin/fault"
	"nutmeglock.example/nutmeglock/standin/lag"
)

// The headers exchanged between a router and an engine.
const (
	headerStreamID  = "nutmeglock-stream-id"
	headerRequestID = "nutmeglock-request-id"
	headerRefused   = "nutmeglock-refused"
)

func (e *Engine) newRoutes() *echo.Echo {
	routes := echo.New()
	routes.Use(e.abortWhenCrashed)
	routes.POST("/v1/chat/completions", e.handleChat, e.injectFault(OperationChat))
	routes.GET("/v1/streams/:id", e.handleResume, e.injectFault(OperationResume))
	routes.DELETE("/v1/streams/:id", e.handleCancel, e.injectFault(OperationCancel))
	routes.GET("/load", e.handleLoad, e.injectFault(OperationLoad))
	routes.GET("/cache-events", e.handleCacheEvents, e.injectFault(OperationEvents))
	routes.POST("/orders", e.handleOrder, e.injectFault(OperationOrder))
	e.addTestRoutes(routes)
	return routes
}

// addTestRoutes adds the routes that only tests use.
func (e *Engine) addTestRoutes(routes *echo.Echo) {
	routes.GET("/runs", func(c echo.Context) error {
		return c.JSON(http.StatusOK, map[string]map[string]int{"runs": e.Runs()})
	})
	routes.GET("/orders", e.handleOrderList)
	routes.PUT("/faults", e.handleFaults)
	routes.POST("/drain", func(c echo.Context) error {
		e.Drain()
		return c.NoContent(http.StatusNoContent)
	})
	routes.POST("/crash", func(c echo.Context) error {
		e.Crash()
		return c.NoContent(http.StatusNoContent)
	})
	routes.POST("/restore", func(c echo.Context) error {
		e.Restore()
		return c.NoContent(http.StatusNoContent)
	})
}

func (e *Engine) abortWhenCrashed(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		e.mu.Lock()
		crashed := e.crashed
		e.mu.Unlock()
		if crashed && c.Path() != "/restore" {
			panic(http.ErrAbortHandler)
		}
		return next(c)
	}
}

type errorBody struct {
	Error string `json:"error"`
}

// injectFault returns middleware that applies the active fault to an operation.
func (e *Engine) injectFault(operation string) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			f, ok := e.Faults.Take(operation, c.Request().Header.Get(headerRequestID))
			if !ok {
				return next(c)
			}
			return e.applyFault(c, next, f)
		}
	}
}

func (e *Engine) applyFault(c echo.Context, next echo.HandlerFunc, f fault.Fault) error {
	switch f.Kind {
	case fault.RequestLost:
		panic(http.ErrAbortHandler)
	case fault.Down:
		return c.JSON(http.StatusInternalServerError, errorBody{"out of order"})
	case fault.RefuseFull:
		return refuse(c, "full")
	case fault.RefuseDraining:
		return refuse(c, "draining")
	case fault.Slow:
		if err := f.Wait(c.Request().Context(), e.options.Clock); err != nil {
			return err
		}
	case fault.ReplyLost:
		c.Set(breakAfterKey, 0)
	case fault.BreakAfterEvents:
		c.Set(breakAfterKey, f.AfterEvents)
	default:
	}
	return next(c)
}

// breakAfterKey is the context key of the number of events after which the
// connection is aborted.
const breakAfterKey = "break-after"

func refuse(c echo.Context, reason string) error {
	c.Response().Header().Set(headerRefused, reason)
	return c.JSON(http.StatusServiceUnavailable, errorBody{reason})
}

func (e *Engine) handleChat(c echo.Context) error {
	var request chatRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&request); err != nil {
		return c.JSON(http.StatusBadRequest, errorBody{err.Error()})
	}
	header := c.Request().Header
	s := newStream(header.Get(headerStreamID), header.Get(headerRequestID), request)
	if !e.submit(s) {
		return refuse(c, "draining")
	}
	if request.Stream {
		return e.sendEvents(c, s, 0)
	}
	return e.sendCompletion(c, s)
}

func (e *Engine) handleResume(c echo.Context) error {
	after, err := strconv.Atoi(c.QueryParam("after"))
	if err != nil || after < 0 {
		return c.JSON(http.StatusBadRequest, errorBody{"after must be the number of an event"})
	}
	s := e.findStream(c.Param("id"))
	if s == nil {
		return c.JSON(http.StatusNotFound, errorBody{"no such stream"})
	}
	return e.sendEvents(c, s, after)
}

func (e *Engine) findStream(id string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

func (e *Engine) handleCancel(c echo.Context) error {
	s := e.findStream(c.Param("id"))
	if s == nil {
		return c.JSON(http.StatusNotFound, errorBody{"no such stream"})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.remove(s, cancelled)
	return c.NoContent(http.StatusNoContent)
}

// sendEvents sends the events after a number until the stream ends or the
// reader disconnects.
func (e *Engine) sendEvents(c echo.Context, s *stream, after int) error {
	e.addReader(s)
	defer e.removeReader(s)
	response := c.Response()
	response.Header().Set(echo.HeaderContentType, "text/event-stream")
	if s.id != "" {
		response.Header().Set(headerStreamID, s.id)
	}
	response.WriteHeader(http.StatusOK)
	response.Flush()
	limit, limited := c.Get(breakAfterKey).(int)
	for {
		events, state, changed := e.eventsAfter(s, after)
		for _, data := range events {
			if limited && after >= limit {
				panic(http.ErrAbortHandler)
			}
			if _, err := response.Write(data); err != nil {
				return nil // The reader has disconnected, which is not an error of the engine.
			}
			response.Flush()
			after++
		}
		if state == complete {
			return nil
		}
		if state != active {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

// sendCompletion sends the whole answer once it is complete.
func (e *Engine) sendCompletion(c echo.Context, s *stream) error {
	e.addReader(s)
	defer e.removeReader(s)
	for {
		_, state, changed := e.eventsAfter(s, 0)
		_, broken := c.Get(breakAfterKey).(int)
		if state == complete && !broken {
			return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, s.answer.body())
		}
		if state != active {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

func (e *Engine) handleLoad(c echo.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Clock.Now()
	load, at := e.load.Get(now)
	load.AtUnixMs = lag.AsOf(now, at, e.options.ReportLag).UnixMilli()
	return c.JSON(http.StatusOK, load)
}

type cacheEventsReply struct {
	Events []CacheEvent `json:"events"`
}

func (e *Engine) handleCacheEvents(c echo.Context) error {
	after, err := strconv.ParseUint(valueOr(c.QueryParam("after"), "0"), 10, 64)
	if err != nil {
		return c.JSON(http.StatusBadRequest, errorBody{"after must be the number of an event"})
	}
	e.mu.Lock()
	events := e.cache.eventsAfter(e.options.Clock.Now(), after)
	e.mu.Unlock()
	return c.JSON(http.StatusOK, cacheEventsReply{Events: events})
}

func (e *Engine) handleOrder(c echo.Context) error {
	var order Order
	if err := c.Bind(&order); err != nil {
		return err
	}
	if !e.acceptOrder(order) {
		return c.JSON(http.StatusConflict, errorBody{"old fencing number"})
	}
	return c.NoContent(http.StatusNoContent)
}

func (e *Engine) handleOrderList(c echo.Context) error {
	e.mu.Lock()
	orders := append([]Order{}, e.orders...)
	e.mu.Unlock()
	return c.JSON(http.StatusOK, map[string][]Order{"orders": orders})
}

func (e *Engine) handleFaults(c echo.Context) error {
	var request fault.SetRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	e.Faults.Set(request.Faults...)
	return c.NoContent(http.StatusNoContent)
}

// Package server is the platform's HTTP interface over the platform in
// memory: the stand-in for the platform in tests that run separate processes.
package server

import (
	"errors"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"nutmeglock.example/nutmeglock/standin/fault"
	"nutmeglock.example/nutmeglock/store"
	"nutmeglock.example/nutmeglock/store/memory"
	"nutmeglock.example/nutmeglock/store/wire"
)

// maxObject bounds the size of an object, in bytes.
const maxObject = 64 << 20

type handler struct{ store *memory.Platform }

// New returns the HTTP interface of a platform in memory, with the test orders
// PUT /vms, PUT /faults and PUT /limits.
func New(store *memory.Platform) http.Handler {
	h := handler{store: store}
	e := echo.New()
	e.HTTPErrorHandler = answerError
	e.POST(wire.ReadPath, h.read)
	e.POST(wire.ScanPath, h.scan)
	e.POST(wire.CommitPath, h.commit)
	e.PUT(wire.ObjectPath+"*", h.put)
	e.GET(wire.ObjectPath+"*", h.get)
	e.GET(wire.VMsPath, h.list)
	e.PUT(wire.VMsPath, h.setVMs)
	e.GET(wire.FaultsPath, h.faults)
	e.PUT(wire.FaultsPath, h.setFaults)
	e.PUT(wire.LimitsPath, h.setLimits)
	e.GET(wire.CountsPath, h.counts)
	return e
}

func (h handler) read(c echo.Context) error {
	var request wire.ReadRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	rows, err := h.store.Read(c.Request().Context(), request.Keys...)
	return answerRows(c, rows, err)
}

func (h handler) scan(c echo.Context) error {
	var request wire.ScanRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	rows, err := h.store.Scan(c.Request().Context(), request.Prefix, request.After, request.Limit)
	return answerRows(c, rows, err)
}

func answerRows(c echo.Context, rows []store.Row, err error) error {
	if err != nil {
		return err
	}
	reply := wire.RowsReply{Rows: make([]wire.Row, len(rows))}
	for i, row := range rows {
		reply.Rows[i] = wire.Row(row)
	}
	return c.JSON(http.StatusOK, reply)
}

func (h handler) commit(c echo.Context) error {
	var request wire.CommitRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	txn := store.Txn{}
	for _, check := range request.Checks {
		txn.Checks = append(txn.Checks, store.Check(check))
	}
	for _, write := range request.Writes {
		txn.Writes = append(txn.Writes, store.Write(write))
	}
	if err := h.store.Commit(c.Request().Context(), txn); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

func (h handler) put(c echo.Context) error {
	data, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxObject))
	if err != nil {
		return echo.NewHTTPError(http.StatusRequestEntityTooLarge, err.Error())
	}
	if err := h.store.Put(c.Request().Context(), c.Param("*"), data); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

func (h handler) get(c echo.Context) error {
	data, err := h.store.Get(c.Request().Context(), c.Param("*"))
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, data)
}

func (h handler) list(c echo.Context) error {
	vms, err := h.store.List(c.Request().Context())
	if err != nil {
		return err
	}
	reply := wire.VMsReply{VMs: make([]wire.VM, len(vms))}
	for i, vm := range vms {
		reply.VMs[i] = wire.VM(vm)
	}
	return c.JSON(http.StatusOK, reply)
}

func (h handler) setVMs(c echo.Context) error {
	var request wire.VMsReply
	if err := c.Bind(&request); err != nil {
		return err
	}
	vms := make([]store.VM, len(request.VMs))
	for i, vm := range request.VMs {
		vms[i] = store.VM(vm)
	}
	h.store.SetVMs(vms...)
	return c.NoContent(http.StatusNoContent)
}

func (h handler) faults(c echo.Context) error {
	return c.JSON(http.StatusOK, fault.Orders{Faults: h.store.Faults.All()})
}

func (h handler) setFaults(c echo.Context) error {
	var request fault.Orders
	if err := c.Bind(&request); err != nil {
		return err
	}
	h.store.Faults.Set(request.Faults...)
	return c.NoContent(http.StatusNoContent)
}

func (h handler) setLimits(c echo.Context) error {
	var request wire.Limits
	if err := c.Bind(&request); err != nil {
		return err
	}
	h.store.SetLimits(request.Reads, request.Writes)
	return c.NoContent(http.StatusNoContent)
}

// counts answers with how many operations of each kind were asked for.
func (h handler) counts(c echo.Context) error { return c.JSON(http.StatusOK, h.store.Counts()) }

// answerError maps an error to its answer. An outcome that is unknown has no
// answer at all: the connection breaks, as when a real reply is lost.
func answerError(err error, c echo.Context) {
	var (
		indefinite  *store.IndefiniteError
		conflict    *store.ConflictError
		unavailable *store.UnavailableError
		notFound    *store.NotFoundError
		httpError   *echo.HTTPError
	)
	reply := wire.ErrorReply{Error: err.Error()}
	switch {
	case errors.As(err, &indefinite), errors.Is(err, memory.ErrLost):
		panic(http.ErrAbortHandler)
	case errors.As(err, &conflict):
		_ = c.JSON(http.StatusConflict, wire.ConflictReply(*conflict))
	case errors.Is(err, memory.ErrLimited):
		_ = c.JSON(http.StatusTooManyRequests, reply)
	case errors.As(err, &unavailable):
		_ = c.JSON(http.StatusServiceUnavailable, reply)
	case errors.As(err, &notFound):
		_ = c.JSON(http.StatusNotFound, reply)
	case errors.As(err, &httpError):
		_ = c.JSON(httpError.Code, reply)
	default:
		_ = c.JSON(http.StatusInternalServerError, reply)
	}
}

//go:build deps

package nutmeglock

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/labstack/echo/v4"
	_ "github.com/oklog/run"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/rotisserie/eris"
	_ "github.com/sourcegraph/jsonrpc2"
	_ "github.com/stretchr/testify/require"
	_ "github.com/tailscale/hujson"
	_ "github.com/urfave/cli/v3"
	_ "go.uber.org/goleak"
	_ "pgregory.net/rapid"
)

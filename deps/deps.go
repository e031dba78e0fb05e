// Package deps keeps the modules that packages in preparation need in go.mod.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/agnivade/levenshtein"
	_ "github.com/frankban/quicktest"
	_ "github.com/labstack/echo/v4"
	_ "github.com/labstack/echo/v4/middleware"
	_ "github.com/mattn/go-isatty"
	_ "github.com/oklog/run"
	_ "github.com/peterbourgon/ff/v3/ffcli"
	_ "github.com/pkg/errors"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/draw"
	_ "pgregory.net/rapid"
)

package gates

import (
	"strconv"
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

func ms(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

func gateName(s string) view.GateName { return view.GateName(s) }

package gates

import (
	"strconv"
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

type (
	groupID  = view.GroupID
	hostName = view.HostName
)

func ms(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

func gateName(s string) view.GateName { return view.GateName(s) }

func hostOf(i int) hostName { return hostName("h" + string(rune('1'+i))) }

func groupOf(i int) groupID { return groupID("assistant-" + string(rune('1'+i))) }

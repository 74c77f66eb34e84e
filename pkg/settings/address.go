package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"

	"github.com/sesamemux/sesamemux/pkg/inifile"
)

const (
	listenRule  = "IP:port of this host, such as 127.0.0.1:7700; port 0 selects a free port"
	addressRule = "IP:port, such as 10.0.0.7:7700"
)

// checkListen validates an address to listen on.
func checkListen(s string) error {
	_, err := netip.ParseAddrPort(s)
	if err != nil {
		return fmt.Errorf("%q is not IP:port", s)
	}
	return nil
}

// checkReachable validates an address to listen on that is advertised to other
// processes.
func checkReachable(s string) error {
	if err := checkListen(s); err != nil {
		return err
	}
	if netip.MustParseAddrPort(s).Addr().IsUnspecified() {
		return fmt.Errorf("%s names no host; this address is advertised to other processes", s)
	}
	return nil
}

// checkAddress validates an address to connect to.
func checkAddress(s string) error {
	if err := checkReachable(s); err != nil {
		return err
	}
	if netip.MustParseAddrPort(s).Port() == 0 {
		return errors.New("cannot connect to port 0")
	}
	return nil
}

func isLoopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().Unmap().IsLoopback()
}

func listen(key string, p *string, doc string) inifile.Field {
	return inifile.Text(key, p, listenRule, checkListen, doc)
}

func reachable(key string, p *string, doc string) inifile.Field {
	return inifile.Text(key, p, listenRule, checkReachable, doc)
}

func addresses(key string, p *[]string, doc string) inifile.Field {
	return inifile.Strings(key, p, addressRule+"; several are separated by commas", checkAddress, doc)
}

func required(f inifile.Field) inifile.Field {
	f.Required = true
	return f
}

// optional returns a check that also accepts an empty text.
func optional(check func(string) error) func(string) error {
	return func(s string) error {
		if strings.TrimSpace(s) == "" {
			return nil
		}
		return check(s)
	}
}

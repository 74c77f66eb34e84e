package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"

	"github.com/sesamemux/sesamemux/pkg/inifile"
)

const (
	listenRule  = "IP:port of this host, such as 127.0.0.1:7700; port 0 takes a free one"
	addressRule = "IP:port, such as 10.0.0.7:7700"
)

// checkListen accepts an address to listen on.
func checkListen(s string) error {
	_, err := netip.ParseAddrPort(s)
	if err != nil {
		return fmt.Errorf("%q is not IP:port", s)
	}
	return nil
}

// checkReachable accepts an address to listen on that others are told of.
func checkReachable(s string) error {
	if err := checkListen(s); err != nil {
		return err
	}
	if netip.MustParseAddrPort(s).Addr().IsUnspecified() {
		return fmt.Errorf("%s names no host; other processes are told this address", s)
	}
	return nil
}

// checkAddress accepts an address to connect to.
func checkAddress(s string) error {
	if err := checkReachable(s); err != nil {
		return err
	}
	if netip.MustParseAddrPort(s).Port() == 0 {
		return errors.New("port 0 can't be connected to")
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

// optional accepts a text field that is empty.
func optional(check func(string) error) func(string) error {
	return func(s string) error {
		if strings.TrimSpace(s) == "" {
			return nil
		}
		return check(s)
	}
}

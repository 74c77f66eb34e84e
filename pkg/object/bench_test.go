package object

import (
	"fmt"
	"strings"
	"testing"
)

// targetSet returns a set of the target scale of the system: 25 failure domains,
// 12,000 hosts in 300 fabric domains, copies of 4 hosts.
func targetSet() string {
	var b strings.Builder
	for i := range 25 {
		fmt.Fprintf(&b, "[failure-domain fd-%d]\nregion = region-%d\n", i, i%9)
	}
	for i := range 300 {
		fmt.Fprintf(&b, "[fabric-domain fabric-%d]\nfailure_domain = fd-%d\nhosts = 40\n", i, i%25)
	}
	for i := range 40 {
		fmt.Fprintf(&b, "[version v%d]\nmodel = model-%d\n", i, i%20)
		fmt.Fprintf(&b, "[adapter a%d]\nmodel = model-%d\nversions = v%d\n", i, i%20, i)
		fmt.Fprintf(&b, "[model-group m%d]\nversion = v%d\nadapters = a%d\ncopies = 70\nhosts_per_group = 4\n", i, i, i)
	}
	for i := range 30 {
		fmt.Fprintf(&b, "[service s%d]\nonce_only = POST /stamp\nmodel_groups = m%d\n", i, i)
	}
	for i := range 500 {
		fmt.Fprintf(&b, "[organisation o%d]\nkey_sha256 = %064x\n", i, i+1)
	}
	return b.String()
}

// BenchmarkLoad measures loading a set of the target scale.
func BenchmarkLoad(b *testing.B) {
	text := []byte(targetSet())
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		if _, problems := Load("target.ini", text); len(problems) > 0 {
			b.Fatal(problems[0])
		}
	}
}

// BenchmarkDiff measures the comparison of two sets of the target scale.
func BenchmarkDiff(b *testing.B) {
	before, _ := Load("target.ini", []byte(targetSet()))
	after := before
	after.Organisations = before.Organisations[1:]
	b.ReportAllocs()
	for b.Loop() {
		if len(Diff(before, after)) != 1 {
			b.Fatal("wrong difference")
		}
	}
}

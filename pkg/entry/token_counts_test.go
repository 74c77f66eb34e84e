package entry

import (
	"testing"

	"github.com/sesamemux/sesamemux/pkg/catalog"
)

func TestOddTokenCountsDoNotDistortTheLoad(t *testing.T) {
	e := &catalog.Engine{MeanPromptTokens: 1000, MeanAnswerTokens: 100, KVTokens: 1_400_000}
	for field, want := range map[string][2]int{
		"2000,50":     {2000, 50},
		" 2000 , 50 ": {2000, 50},
		"2000,500":    {2000, 100},
		"0,0":         {0, 0},
		"":            {1000, 100},
		"2000":        {1000, 100},
		"x,50":        {1000, 50},
		"-2000,-50":   {1000, 100},
		"9223372036854775807,9223372036854775807": {1000, 100},
		"1400001,50": {1000, 50},
		"1e300,50":   {1000, 50},
	} {
		if prompt, answer := tokenCounts(e, field); prompt != want[0] || answer != want[1] {
			t.Errorf("%q gives %d and %d tokens, want %v", field, prompt, answer, want)
		}
	}
	if prompt, _ := tokenCounts(&catalog.Engine{MeanPromptTokens: 7}, "99999999999,1"); prompt != 7 {
		t.Errorf("%d tokens without a known memory", prompt)
	}
}

package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/sesamemux/sesamemux/pkg/view"
)

func TestEntryHostsTogetherAskAboutAPartAFewTimesASecond(t *testing.T) {
	for _, hosts := range []int{1, 4, 8} {
		asked := 0
		questions := make([]trialQuestions, hosts)
		for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
			for i := range questions {
				if questions[i].allow(now, []view.Fingerprint{"popular"}, hosts) {
					asked++
				}
			}
		}
		if asked > 40+hosts {
			t.Errorf("%d entry hosts asked %d times in 10 s", hosts, asked)
		}
	}
}

func TestQuestionsAboutOtherPartsAndWholeRequestsAreNotHeldBack(t *testing.T) {
	var q trialQuestions
	q.allow(0, []view.Fingerprint{"a"}, 1)
	if q.allow(0, []view.Fingerprint{"b", "a"}, 1) || !q.allow(0, []view.Fingerprint{"b"}, 1) || !q.allow(0, nil, 1) || !q.allow(0, nil, 1) {
		t.Error("wrong question held back")
	}
	for i := range 3 * maxQuestioned {
		q.allow(time.Duration(i), []view.Fingerprint{view.Fingerprint(fmt.Sprint(i))}, 1)
	}
	if len(q.next) > maxQuestioned {
		t.Errorf("%d parts remembered", len(q.next))
	}
}

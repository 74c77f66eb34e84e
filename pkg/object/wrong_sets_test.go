package object

import (
	"fmt"
	"strings"
	"testing"
)

// goodSet is a set without problems; wrongSets are variations of it.
const goodSet = `[failure-domain fd-a]
region = south
[fabric-domain fabric-1]
failure_domain = fd-a
hosts = 4
[version v1]
model = chat
[adapter tone]
model = chat
versions = v1
[model-group assistant]
version = v1
adapters = tone
copies = 2
minimum = 1
hosts_per_group = 2
failure_domains = fd-a
[service records]
once_only = POST /stamp
model_groups = assistant
[organisation quay]
weight = 2
`

// wrongSet is an invalid set and the problems that it must produce, each as
// "line|object|field|part of the message".
type wrongSet struct {
	name     string
	text     string
	problems []string
}

// change replaces text that occurs once in goodSet.
func change(old, replacement string) string {
	if strings.Count(goodSet, old) != 1 {
		panic(old)
	}
	return strings.Replace(goodSet, old, replacement, 1)
}

// add appends lines to goodSet; they start at line 23.
func add(lines ...string) string { return goodSet + strings.Join(lines, "\n") + "\n" }

var wrongSets = []wrongSet{
	{"unknown kind", add("[robot x]", "arms = 2"), []string{`23|robot x||unknown kind "robot"; kinds are failure-domain`}},
	{"no kind", add("[assistant]"), []string{`23|assistant||unknown kind`}},
	{"no name", add("[version]", "model = chat"), []string{"23|version||no name"}},
	{"empty header", add("[]"), []string{"23|||no name"}},
	{"header not closed", add("[version v2", "model = chat"), []string{"23|||no \"]\""}},
	{"text after header", add("[version v2] model = chat"), []string{"23|||after the section header"}},
	{"name in capitals", add("[version V2]", "model = chat"), []string{`23|version V2||"V2" is not a name`}},
	{"name that starts with a digit", add("[version 2]", "model = chat"), []string{`23|version 2||"2" is not a name`}},
	{"name of two words", add("[version v 2]", "model = chat"), []string{`23|version v 2||"v 2" is not a name`}},
	{"name too long", add("[version "+strings.Repeat("v", 64)+"]", "model = chat"), []string{"23|version " + strings.Repeat("v", 64) + "||is not a name"}},
	{"unknown field", add("speed = 3"), []string{"23|organisation quay|speed|unknown field; fields are weight, max_queued, key_sha256"}},
	{"field of another kind", add("copies = 3"), []string{"23|organisation quay|copies|unknown field"}},
	{"field twice", add("weight = 3"), []string{"23|organisation quay|weight|given twice, first on line 22"}},
	{"object twice", add("[version v1]", "model = chat"), []string{"23|version v1||defined twice, first on line 6"}},
	{"object twice, wrong as well", add("[version v1]", "model = chat", "weights_bytes = much"),
		[]string{"23|version v1||defined twice", "25|version v1|weights_bytes|not a size"}},
	{"field before any section", "region = south\n" + goodSet, []string{"1||region|before any section"}},
	{"line without a sign", add("weight"), []string{`23|organisation quay||no "="`}},
	{"key in capitals", add("Weight = 2"), []string{`23|organisation quay||key "Weight"`}},
	{"not UTF-8", add("# caf\xe9"), []string{"23|organisation quay||not UTF-8"}},
	{"control character", add("weight\x00 = 2"), []string{"23|organisation quay||control character at column 7"}},
	{"multi-line value", add(`key_sha256 = """`, `"""`), []string{"23|organisation quay|key_sha256|multi-line", `24|organisation quay||no "="`}},
	{"missing region", change("region = south", ""), []string{"1|failure-domain fd-a|region|is missing"}},
	{"empty region", change("region = south", "region ="), []string{"2|failure-domain fd-a|region|is missing"}},
	{"region no name", change("region = south", "region = the south"), []string{"2|failure-domain fd-a|region|not a name"}},
	{"missing hosts", change("hosts = 4\n", ""), []string{"3|fabric-domain fabric-1|hosts|is missing; allowed: 1 to 100000"}},
	{"missing model", change("model = chat\n[adapter", "[adapter"), []string{"6|version v1|model|is missing",
		"9|adapter tone|versions|version v1 is of model"}},
	{"missing version", change("version = v1\nadapters = tone", ""), []string{"11|model-group assistant|version|is missing"}},
	{"dangling failure domain", change("failure_domain = fd-a", "failure_domain = fd-x"),
		[]string{"4|fabric-domain fabric-1|failure_domain|[failure-domain fd-x], which is not in the set", "14|model-group assistant|copies|hold 0"}},
	{"dangling version", change("version = v1\n", "version = v9\n"), []string{"12|model-group assistant|version|[version v9]"}},
	{"dangling adapter", change("adapters = tone", "adapters = tone, style"), []string{"13|model-group assistant|adapters|[adapter style]"}},
	{"dangling version of an adapter", change("versions = v1", "versions = v1, v9"), []string{"10|adapter tone|versions|[version v9]"}},
	{"dangling place", change("failure_domains = fd-a", "failure_domains = fd-a, fd-x"), []string{"17|model-group assistant|failure_domains|[failure-domain fd-x]"}},
	{"dangling model group", change("model_groups = assistant", "model_groups = assistant, other"), []string{"20|service records|model_groups|[model-group other]"}},
	{"removed but still referred to", change("[version v1]\nmodel = chat\n", ""),
		[]string{"8|adapter tone|versions|[version v1]", "10|model-group assistant|version|[version v1]"}},
	{"list with an empty element", change("adapters = tone", "adapters = tone,"), []string{"13|model-group assistant|adapters|empty element"}},
	{"list with an element twice", change("adapters = tone", "adapters = tone, tone"), []string{`13|model-group assistant|adapters|"tone" is listed twice`}},
	{"adapter of another model", change("[adapter tone]\nmodel = chat", "[adapter tone]\nmodel = code"), []string{"10|adapter tone|versions|version v1 is of model chat, the adapter is for model code"}},
	{"adapter does not fit", change("version = v1\nadapters", "version = v2\nadapters") + "[version v2]\nmodel = chat\n",
		[]string{"13|model-group assistant|adapters|adapter tone is not compatible with version v2; it is compatible with v1"}},
	{"copies zero", change("copies = 2", "copies = 0"), []string{"14|model-group assistant|copies|0 is out of range; allowed: 1 to 4096", "15|model-group assistant|minimum|more than copies"}},
	{"copies a word", change("copies = 2", "copies = two"), []string{`14|model-group assistant|copies|"two" is not a whole number; allowed: 1 to 4096`}},
	{"copies a fraction", change("copies = 2", "copies = 1.5"), []string{`14|model-group assistant|copies|"1.5" is not a whole number`}},
	{"copies too large for a number", change("copies = 2", "copies = 99999999999999999999"), []string{"14|model-group assistant|copies|not a whole number"}},
	{"minimum over copies", change("minimum = 1", "minimum = 3"), []string{"15|model-group assistant|minimum|3 is more than copies, which is 2"}},
	{"minimum negative", change("minimum = 1", "minimum = -1"), []string{"15|model-group assistant|minimum|-1 is out of range"}},
	{"group of too many hosts", change("hosts_per_group = 2", "hosts_per_group = 17"), []string{"16|model-group assistant|hosts_per_group|out of range; allowed: 1 to 16"}},
	{"cold over proven", add("[service x]", "cold_in_flight = 5", "max_in_flight = 4"), []string{"24|service x|cold_in_flight|5 is more than max_in_flight, which is 4"}},
	{"cold over proven in a model group", change("minimum = 1", "cold_in_flight = 65"), []string{"15|model-group assistant|cold_in_flight|65 is more than max_in_flight"}},
	{"duration without unit", change("minimum = 1", "ramp_time = 30"), []string{"15|model-group assistant|ramp_time|not a duration"}},
	{"duration negative", change("minimum = 1", "ramp_time = -1s"), []string{"15|model-group assistant|ramp_time|out of range; allowed: 0s to 1h"}},
	{"too few hosts", change("copies = 2", "copies = 3"), []string{"14|model-group assistant|copies|3 copies of 2 hosts are requested, but the eligible fabric domains hold 2"}},
	{"no fabric domain holds a group", change("hosts_per_group = 2", "hosts_per_group = 5"), []string{"14|model-group assistant|copies|hold 0"}},
	{"no fabric domain in the place", add("[failure-domain fd-b]", "region = south", "[model-group other]", "version = v1", "failure_domains = fd-b"),
		[]string{"25|model-group other|copies|hold 0"}},
	{"model groups don't fit together", add("[model-group other]", "version = v1"), []string{"23|model-group other|copies|together with the other model groups"}},
	{"sizes don't fit together", "[failure-domain a]\nregion = r\n[fabric-domain f]\nfailure_domain = a\nhosts = 3\n[fabric-domain g]\nfailure_domain = a\nhosts = 3\n" +
		"[version v]\nmodel = m\n[model-group p]\nversion = v\nhosts_per_group = 2\n[model-group q]\nversion = v\nhosts_per_group = 2\n[model-group r]\nversion = v\nhosts_per_group = 2\n",
		[]string{"17|model-group r|copies|together with the other model groups"}},
	{"call without a method", change("POST /stamp", "/stamp"), []string{"19|service records|once_only|not a method and a path"}},
	{"call with an unknown method", change("POST /stamp", "STAMP /stamp"), []string{`19|service records|once_only|method "STAMP"`}},
	{"call path without a slash", change("POST /stamp", "POST stamp"), []string{"19|service records|once_only|not a path"}},
	{"call twice", change("POST /stamp", "POST /stamp, POST /stamp"), []string{"19|service records|once_only|listed twice"}},
	{"outcome path", change("model_groups = assistant", "outcome_path = outcome"), []string{"20|service records|outcome_path|not a path"}},
	{"key header", change("model_groups = assistant", "key_header = my key"), []string{"20|service records|key_header|not a header name"}},
	{"no key header", change("model_groups = assistant", "key_header ="), []string{"20|service records|key_header|not a header name"}},
	{"retention too short", change("model_groups = assistant", "retention = 1s"), []string{"20|service records|retention|out of range; allowed: 1m"}},
	{"answer too long", change("model_groups = assistant", "max_answer_bytes = 2MiB"), []string{"20|service records|max_answer_bytes|2MiB is out of range; allowed: 0 to 1MiB"}},
	{"service calls itself", change("model_groups = assistant", "services = records"), []string{"20|service records|services|cycle of references: [service records] -> [service records]"}},
	{"services call each other", add("[service a]", "services = b", "[service b]", "services = c", "[service c]", "services = a"),
		[]string{"28|service c|services|[service a] -> [service b] -> [service c] -> [service a]"}},
	{"weight zero", change("weight = 2", "weight = 0"), []string{"22|organisation quay|weight|0 is out of range; allowed: 1 to 1000"}},
	{"digest too short", add("key_sha256 = abcd"), []string{"23|organisation quay|key_sha256|not a SHA-256 digest; allowed: 64 hexadecimal digits"}},
	{"digest in capitals", add("key_sha256 = " + strings.Repeat("AB", 32)), []string{"23|organisation quay|key_sha256|not a SHA-256 digest"}},
	{"two organisations with one key", add("key_sha256 = "+strings.Repeat("ab", 32), "[organisation quay-2]", "key_sha256 = "+strings.Repeat("ab", 32)),
		[]string{"25|organisation quay-2|key_sha256|is the key of organisation quay too"}},
	{"many at once", add("[version v1]", "[robot x]", "[model-group z]", "copies = many", "version = v9", "flavour = sweet"), []string{
		"23|version v1||twice", "24|robot x||unknown kind", "26|model-group z|copies|not a whole number",
		"27|model-group z|version|[version v9]", "28|model-group z|flavour|unknown field"}},
}

func TestGoodSetHasNoProblems(t *testing.T) {
	if _, problems := Load("good.ini", []byte(goodSet)); len(problems) > 0 {
		t.Fatal(problems)
	}
}

// TestWrongSets loads each wrong set and compares all its problems.
func TestWrongSets(t *testing.T) {
	for _, w := range wrongSets {
		t.Run(w.name, func(t *testing.T) {
			_, problems := Load("wrong.ini", []byte(w.text))
			if len(problems) != len(w.problems) {
				t.Fatalf("%d problems, want %d: %v", len(problems), len(w.problems), problems)
			}
			for i, p := range problems {
				checkProblem(t, p, w.problems[i])
			}
		})
	}
}

func checkProblem(t *testing.T, p Problem, want string) {
	t.Helper()
	part := strings.SplitN(want, "|", 4)
	place := fmt.Sprintf("%d|%s|%s", p.Line, p.Object, p.Field)
	if p.File != "wrong.ini" || place != strings.Join(part[:3], "|") || !strings.Contains(p.Message, part[3]) {
		t.Errorf("got  %v\nwant %s", p, want)
	}
}

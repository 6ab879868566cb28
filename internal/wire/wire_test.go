package wire

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"nickelline/decide"
)

const startEvent = `{"up":{"seed":9007199254740993,"profile_data":{"accounts":[{"name":"a","quota_per_s":5,"fraction":0.5}],
"balancers":3,"caps":{"cancel":true,"connect_timeout_ns":250000000,"cpu_us_per_s":15000,"cpu_us_per_request":2.5,"most_held":9,"multiplex":100,"conn_idle_ns":5,"max_attempts":4,"may_duplicate":true,"peers":true,
"probes":true,"retry_after":true,"max_retry_after_ns":2000000000},"classes":[{"aim_ns":600000000,"dedup_window_ns":8,
"effect":"dedup","give_up_ns":1200000000,"importance":12.0,"key_scope":"cell","late_worth":0.5,"name":"x","streamed":true}],
"failure_domains":["n"],"membership_mode":"on_request","report":{"fields":["active"],"how":"answers"},"slot_no":2,
"invariants":{"answer_slack_ns":20000000,"ask_within_ns":10000000000,"cold_from":0.32,"cold_ns":8300000000,
"drain_grace_ns":500000000,"overload_factor":2.5,"tip_after_ns":1000000000},"tick_ns":5000000,"weight_kind":"live",
"charges":{"cross_zone":0.02,"membership_mode":0.5},"goal":{"whole":0.6,"worst_window":0.4},"family":"proxy","tiers":["a","b"],
"tier":1,"specifics":{"warm_keys":true},"zone":"n","key_of_tomorrow":[1]}}}`

// batchLine returns a line with events of one instance.
func batchLine(events string) string {
	return `{"sim_time_ns":1,"groups":[{"node_id":3,"happened":[` + events + `]}]}`
}

// decodeOne decodes a line with one event.
func decodeOne(t *testing.T, event string) Event {
	t.Helper()
	b, err := DecodeBatch([]byte(batchLine(event)))
	if err != nil {
		t.Fatalf("decode %s: %v", event, err)
	}
	return b.Groups[0].Events[0]
}

func TestDecodeStart(t *testing.T) {
	got := decodeOne(t, strings.ReplaceAll(startEvent, "\n", "")).Start
	if want := int64(9007199254740993); got.Seed != want {
		t.Errorf("seed: got %d, want %d", got.Seed, want)
	}
	want := decide.Settings{
		Nodes: 3, Self: 2, Zone: "n", Zones: []string{"n"}, Family: "proxy", Tier: 1, Tiers: []string{"a", "b"},
		MaxAttempts: 4, MayOverlap: true, MayCancel: true, MayProbe: true, MayMessage: true,
		MayRetryAfter: true, MaxRetryAfter: 2 * time.Second, ConnectTimeout: 250 * time.Millisecond,
		MinTick: 5 * time.Millisecond, ListOnRequest: true, SizeKnown: true, SizeLive: true, WarmKeys: true,
		ReportVia: decide.ReportAnswers, ReportFields: []string{"active"},
		StreamsPerConn: 100, ConnIdle: 5, MaxOpen: 9, CPUPerSecond: 15 * time.Millisecond, CPUPerRequest: 2500 * time.Nanosecond,
		Goal: decide.Goal{Whole: 0.6, WorstWindow: 0.4}, Penalties: decide.Penalties{CrossZone: 0.02, ListLines: 0.5},
		AnswerSlack: 20 * time.Millisecond, MaxListAge: 10 * time.Second, DrainGrace: 500 * time.Millisecond,
		ColdStartShare: 0.32, WarmUpTime: 8300 * time.Millisecond, OverloadFactor: 2.5, OverloadTime: time.Second,
		Tenants: []decide.Tenant{{Name: "a", Quota: 5, Share: 0.5}},
		Classes: []decide.Class{{Name: "x", Value: 12, Target: 600 * time.Millisecond, Deadline: 1200 * time.Millisecond,
			LateValue: 0.5, Effect: decide.Keyed, KeyScope: decide.ScopeCell, DedupWindow: 8, Streamed: true}},
	}
	if !reflect.DeepEqual(got.Settings, want) {
		t.Errorf("settings: got\n%+v\nwant\n%+v", got.Settings, want)
	}
}

func TestOutcomeCodes(t *testing.T) {
	for code, want := range map[string]decide.OutcomeCode{"0": decide.OK, "13": decide.BackendError, "8": decide.Full,
		"4": decide.TimedOut, "14": decide.ConnectFailed, "10": decide.Reset, "1": decide.Cancelled, "9": decide.NotSent} {
		event := decodeOne(t, `{"attempt_end":{"req":"q","leg":1,"backend":7,"delay_seen_ns":5,"disposition":`+code+`,
			"feedback":{"active":7,"unheard_of":3,"waiting":2}}}`)
		e := event.Module.(decide.AttemptEnded)
		if e.Code != want || e.Attempt != 1 || e.Backend != 7 || e.RequestAnswered || e.Report.InFlight != 7 || e.Report.Queue != 2 {
			t.Errorf("code %s: got %+v with report %+v, want code %d, attempt 1 at backend 7, 7 in flight, 2 in the queue",
				code, e, e.Report, want)
		}
	}
}

func TestReportWithNoKnownFieldIsNone(t *testing.T) {
	event := decodeOne(t, `{"attempt_end":{"req":"q","leg":0,"backend":7,"disposition":0,"feedback":{"unheard_of":"x"}}}`)
	if e := event.Module.(decide.AttemptEnded); e.Report != nil {
		t.Errorf("report without known fields: got %+v, want none", e.Report)
	}
}

func TestEmptyBatch(t *testing.T) {
	b, err := DecodeBatch([]byte(`{"sim_time_ns":8412250000,"groups":[]}`))
	if err != nil || len(b.Groups) != 0 || string(AppendReply(nil, nil)) != "{\"groups\":[]}\n" {
		t.Errorf("empty batch: got %+v, %v, want no groups and an empty reply", b, err)
	}
}

func TestDecodeErrors(t *testing.T) {
	for in, want := range map[string]string{
		`nonsense`:                        "batch",
		`{"groups":[]}`:                   "sim_time_ns is missing",
		`{"sim_time_ns":1,"groups":[{}]}`: "node_id is missing",
		batchLine(`{"dance":{}}`):         "unknown event",
		batchLine(`{}`):                   "want one key",
		batchLine(`{"submit":{"patience_left_ns":1}}`):                                                            "node 3, event 0, submit: req is missing",
		batchLine(`{"submit":{"req":"q"}}`):                                                                       "patience_left_ns is missing",
		batchLine(`{"due":{}}`):                                                                                   "label is missing",
		batchLine(`{"roster_change":{"how":"Q"}}`):                                                                "unknown how",
		batchLine(`{"up":{"seed":1}}`):                                                                            "profile_data is missing",
		batchLine(`{"probe_result":{"disposition":0}}`):                                                           "backend is missing",
		batchLine(`{"attempt_end":{"req":"q","leg":0,"backend":1}}`):                                              "disposition is missing",
		batchLine(`{"attempt_end":{"req":"q","leg":0,"backend":1,"disposition":99}}`):                             "unknown disposition 99",
		batchLine(`{"roster_change":{"how":"F","items":[{"zone":"z","state":"ready"}]}}`):                         "backend is missing",
		batchLine(`{"up":{"seed":1,"profile_data":{"classes":[{"name":"x","effect":"odd","key_scope":"all"}]}}}`): "unknown effect",
	} {
		if _, err := DecodeBatch([]byte(in)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want %q", in, err, want)
		}
	}
}

func TestReplyIsJSON(t *testing.T) {
	line := AppendReply(nil, []Reply{{Node: 3, Actions: []decide.Action{
		decide.Send{ID: "q", Backend: 4294967295, Timeout: 80 * time.Millisecond}, decide.Refuse{ID: "q", RetryAfter: 5},
		decide.Fail{ID: "q"}, decide.CancelAttempt{ID: "q", Attempt: 1}, decide.SetTimer{After: 5, Token: 77},
		decide.Probe{Backend: 1}, decide.SendMessage{ToAll: true, Data: []byte("hi")}, decide.SendMessage{To: 2},
		decide.Subscribe{On: true}, decide.FetchList{}, decide.CloseIdle{Backend: 1}, decide.Log{Line: "a \"b\""}}}, {Node: 4}})
	var v struct {
		Groups []struct {
			Node    int                         `json:"node_id"`
			Actions []map[string]map[string]any `json:"actions"`
		} `json:"groups"`
	}
	if err := json.Unmarshal(line, &v); err != nil {
		t.Fatalf("unmarshal reply %s: %v", line, err)
	}
	if len(v.Groups) != 1 || len(v.Groups[0].Actions) != 12 || v.Groups[0].Actions[0]["assign"]["try_for_ns"] != 8e7 ||
		v.Groups[0].Actions[6]["tell"]["dest"] != "*" || v.Groups[0].Actions[11]["trace"]["message"] != `a "b"` {
		t.Errorf("reply: got %s, want one group of 12 actions with the assign, tell and trace above", line)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(batchLine(strings.ReplaceAll(startEvent, "\n", ""))))
	f.Add([]byte(batchLine(`{"submit":{"req":"q","patience_left_ns":1}},{"due":{"label":7}},{"retire":{}}`)))
	f.Add([]byte(batchLine(`{"attempt_end":{"req":"q","leg":0,"backend":1,"disposition":0,"feedback":{"active":1e400}}}`)))
	f.Add([]byte(`{"sim_time_ns":1,"groups":[{"node_id":3,"happened":[{"subm`))
	f.Fuzz(func(t *testing.T, line []byte) {
		if b, err := DecodeBatch(line); err == nil && b.Groups == nil && len(line) == 0 {
			t.Fatal("DecodeBatch of an empty line: got no error, want one")
		}
	})
}

package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"nickelline/decide"
)

var effectNames = map[string]decide.Effect{
	"retryable": decide.Safe,
	"dedup":     decide.Keyed,
	"fragile":   decide.Unsafe,
}

var scopeNames = map[string]decide.Scope{
	"cell": decide.ScopeCell,
	"zone": decide.ScopeZone,
	"all":  decide.ScopeAll,
}

var reportVias = map[string]decide.ReportVia{
	"none":    decide.ReportNone,
	"probe":   decide.ReportProbe,
	"answers": decide.ReportAnswers,
}

// settingsJSON is the settings object. Times whose keys end in _ns are in nanoseconds.
type settingsJSON struct {
	Nodes          int            `json:"balancers"`
	Self           int            `json:"slot_no"`
	Zone           string         `json:"zone"`
	Zones          []string       `json:"failure_domains"`
	Kinds          []string       `json:"kinds"`
	Family         string         `json:"family"`
	Tier           int            `json:"tier"`
	Tiers          []string       `json:"tiers"`
	Membership     string         `json:"membership_mode"`
	SizeKind       string         `json:"weight_kind"`
	ValueBy        string         `json:"worth_by"`
	OverShareValue float64        `json:"over_share_worth"`
	MinTick        int64          `json:"tick_ns"`
	Classes        []classJSON    `json:"classes"`
	Tenants        []tenantJSON   `json:"accounts"`
	Capabilities   capabilityJSON `json:"caps"`
	Rules          rulesJSON      `json:"invariants"`
	Goal           goalJSON       `json:"goal"`
	Penalties      penaltiesJSON  `json:"charges"`
	Report         struct {
		Fields []string `json:"fields"`
		Via    string   `json:"how"`
	} `json:"report"`
	Clients struct {
		MarksRetries bool `json:"marks_retry"`
	} `json:"client_habits"`
	Specifics struct {
		PassesDeadline bool `json:"passes_deadline"`
		WarmKeys       bool `json:"warm_keys"`
	} `json:"specifics"`
}

type classJSON struct {
	Name          string  `json:"name"`
	Value         float64 `json:"importance"`
	Target        int64   `json:"aim_ns"`
	TargetStretch float64 `json:"aim_stretch"`
	Deadline      int64   `json:"give_up_ns"`
	LateValue     float64 `json:"late_worth"`
	Effect        string  `json:"effect"`
	KeyScope      string  `json:"key_scope"`
	DedupWindow   int64   `json:"dedup_window_ns"`
	Streamed      bool    `json:"streamed"`
}

type tenantJSON struct {
	Name  string  `json:"name"`
	Quota float64 `json:"quota_per_s"`
	Share float64 `json:"fraction"`
}

type capabilityJSON struct {
	Cancel         bool    `json:"cancel"`
	ConnIdle       int64   `json:"conn_idle_ns"`
	ConnectTimeout int64   `json:"connect_timeout_ns"`
	CPUPerRequest  float64 `json:"cpu_us_per_request"`
	CPUPerSecond   float64 `json:"cpu_us_per_s"`
	MaxAttempts    int     `json:"max_attempts"`
	MaxRetryAfter  int64   `json:"max_retry_after_ns"`
	MayDuplicate   bool    `json:"may_duplicate"`
	MaxOpen        int     `json:"most_held"`
	StreamsPerConn int     `json:"multiplex"`
	Peers          bool    `json:"peers"`
	Probes         bool    `json:"probes"`
	RetryAfter     bool    `json:"retry_after"`
}

type rulesJSON struct {
	AnswerSlack    int64   `json:"answer_slack_ns"`
	MaxListAge     int64   `json:"ask_within_ns"`
	ColdStartShare float64 `json:"cold_from"`
	WarmUpTime     int64   `json:"cold_ns"`
	DrainGrace     int64   `json:"drain_grace_ns"`
	OverloadFactor float64 `json:"overload_factor"`
	OverloadTime   int64   `json:"tip_after_ns"`
}

type goalJSON struct {
	Whole       float64 `json:"whole"`
	WorstClass  float64 `json:"worst_class"`
	WorstTenant float64 `json:"worst_tenant"`
	WorstWindow float64 `json:"worst_window"`
}

type penaltiesJSON struct {
	Connection float64 `json:"connection"`
	CrossZone  float64 `json:"cross_zone"`
	Fleet      float64 `json:"fleet"`
	Handshake  float64 `json:"handshake"`
	LateFail   float64 `json:"late_fail"`
	ListLines  float64 `json:"membership_mode"`
	Moves      float64 `json:"moves"`
	Origin     float64 `json:"origin"`
	Message    float64 `json:"peer"`
	Probe      float64 `json:"probe"`
	Waste      float64 `json:"waste"`
}

// DecodeSettings decodes the settings object of a start event. A real node finds the same object in its configuration.
func DecodeSettings(raw json.RawMessage) (decide.Settings, error) {
	var in *settingsJSON
	if err := json.Unmarshal(raw, &in); err != nil {
		return decide.Settings{}, err
	}
	if in == nil {
		return decide.Settings{}, missingFieldError("profile_data")
	}
	settings := in.settings()
	in.Capabilities.apply(&settings)
	in.Rules.apply(&settings)
	for _, class := range in.Classes {
		decoded, err := class.class()
		if err != nil {
			return decide.Settings{}, fmt.Errorf("class %s: %w", class.Name, err)
		}
		settings.Classes = append(settings.Classes, decoded)
	}
	for _, tenant := range in.Tenants {
		settings.Tenants = append(settings.Tenants, decide.Tenant(tenant))
	}
	return settings, nil
}

// settings returns the settings without the classes, the tenants, the capabilities and the rules.
func (s *settingsJSON) settings() decide.Settings {
	return decide.Settings{
		Nodes:          s.Nodes,
		Self:           s.Self,
		Zone:           s.Zone,
		Zones:          s.Zones,
		Kinds:          s.Kinds,
		Family:         s.Family,
		Tier:           s.Tier,
		Tiers:          s.Tiers,
		MinTick:        time.Duration(s.MinTick),
		MarksRetries:   s.Clients.MarksRetries,
		ListOnRequest:  s.Membership == "on_request",
		SizeKnown:      s.SizeKind != "none",
		SizeLive:       s.SizeKind == "live",
		OverShareValue: s.OverShareValue,
		ValueByWork:    s.ValueBy == "work",
		ReportVia:      reportVias[s.Report.Via],
		ReportFields:   s.Report.Fields,
		WarmKeys:       s.Specifics.WarmKeys,
		PassesDeadline: s.Specifics.PassesDeadline,
		Goal:           s.Goal.goal(),
		Penalties:      s.Penalties.penalties(),
	}
}

func (c *capabilityJSON) apply(settings *decide.Settings) {
	settings.MaxAttempts = c.MaxAttempts
	settings.MayOverlap = c.MayDuplicate
	settings.MayCancel = c.Cancel
	settings.MayProbe = c.Probes
	settings.MayMessage = c.Peers
	settings.MayRetryAfter = c.RetryAfter
	settings.MaxRetryAfter = time.Duration(c.MaxRetryAfter)
	settings.ConnectTimeout = time.Duration(c.ConnectTimeout)
	settings.StreamsPerConn = c.StreamsPerConn
	settings.ConnIdle = time.Duration(c.ConnIdle)
	settings.MaxOpen = c.MaxOpen
	settings.CPUPerSecond = time.Duration(c.CPUPerSecond * float64(time.Microsecond))
	settings.CPUPerRequest = time.Duration(c.CPUPerRequest * float64(time.Microsecond))
}

func (r *rulesJSON) apply(settings *decide.Settings) {
	settings.AnswerSlack = time.Duration(r.AnswerSlack)
	settings.MaxListAge = time.Duration(r.MaxListAge)
	settings.DrainGrace = time.Duration(r.DrainGrace)
	settings.ColdStartShare = r.ColdStartShare
	settings.WarmUpTime = time.Duration(r.WarmUpTime)
	settings.OverloadFactor = r.OverloadFactor
	settings.OverloadTime = time.Duration(r.OverloadTime)
}

func (g goalJSON) goal() decide.Goal {
	return decide.Goal{Whole: g.Whole, WorstWindow: g.WorstWindow, WorstClass: g.WorstClass, WorstTenant: g.WorstTenant}
}

func (p *penaltiesJSON) penalties() decide.Penalties {
	return decide.Penalties{
		Connection: p.Connection,
		Handshake:  p.Handshake,
		CrossZone:  p.CrossZone,
		Waste:      p.Waste,
		LateFail:   p.LateFail,
		Probe:      p.Probe,
		Message:    p.Message,
		Moves:      p.Moves,
		Origin:     p.Origin,
		ListLines:  p.ListLines,
		Fleet:      p.Fleet,
	}
}

func (c *classJSON) class() (decide.Class, error) {
	effect, known := effectNames[c.Effect]
	if !known {
		return decide.Class{}, fmt.Errorf("unknown effect %q", c.Effect)
	}
	scope, known := scopeNames[c.KeyScope]
	if !known && effect == decide.Keyed {
		return decide.Class{}, fmt.Errorf("unknown key_scope %q", c.KeyScope)
	}
	return decide.Class{
		Name:          c.Name,
		Value:         c.Value,
		Target:        time.Duration(c.Target),
		TargetStretch: c.TargetStretch,
		Deadline:      time.Duration(c.Deadline),
		LateValue:     c.LateValue,
		Effect:        effect,
		KeyScope:      scope,
		DedupWindow:   time.Duration(c.DedupWindow),
		Streamed:      c.Streamed,
	}, nil
}

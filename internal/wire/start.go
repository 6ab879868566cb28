package wire

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
)

func decodeStart(raw json.RawMessage) (Event, error) {
	var in struct {
		Seed    *json.Number    `json:"seed"`
		Profile json.RawMessage `json:"profile_data"`
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return Event{}, err
	}
	if in.Seed == nil {
		return Event{}, missingFieldError("seed")
	}
	if in.Profile == nil {
		return Event{}, missingFieldError("profile_data")
	}
	seed, err := decodeSeed(*in.Seed)
	if err != nil {
		return Event{}, err
	}
	settings, err := DecodeSettings(in.Profile)
	if err != nil {
		return Event{}, err
	}
	return Event{Start: &Start{Settings: settings, Seed: seed}}, nil
}

// decodeSeed returns an unsigned 64-bit integer as it is, and any other number as the bits of its float64 value.
func decodeSeed(number json.Number) (int64, error) {
	seed, err := strconv.ParseUint(number.String(), 10, 64)
	if err == nil {
		return int64(seed), nil
	}
	float, floatErr := number.Float64()
	if floatErr != nil {
		return 0, fmt.Errorf("seed: %w", err)
	}
	return int64(math.Float64bits(float)), nil
}

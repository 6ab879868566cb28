package configuration

import (
	"encoding/json"
	"math"
	"math/big"
	"strconv"
	"strings"
	"time"
)

// maxDuration is the greatest duration that is returned: longer ones are reduced to it.
const maxDuration = 365 * 24 * time.Hour

// number returns a finite number, and records a problem if it is negative; 0 if absent or invalid.
func (n node) number() float64 {
	if n.isAbsent() {
		return 0
	}
	number, isNumber := n.value.(json.Number)
	if !isNumber {
		n.addProblem("a number is needed")
		return 0
	}
	value, err := number.Float64()
	if err != nil || math.IsInf(value, 0) {
		n.addProblem("the number %s is out of range", number)
		return 0
	}
	if value < 0 {
		n.addProblem("it must not be negative")
		return 0
	}
	return value
}

// integer returns an integer without rounding; 0 if absent or invalid.
func (n node) integer() int64 {
	if n.isAbsent() {
		return 0
	}
	return n.integerWithin((*big.Int).IsInt64).Int64()
}

// integerWithin returns an integer without rounding, and records a problem and returns 0 if it does not fit.
func (n node) integerWithin(fits func(*big.Int) bool) *big.Int {
	number, isNumber := n.value.(json.Number)
	if !isNumber {
		n.addProblem("a number is needed")
		return new(big.Int)
	}
	exact, valid := exactInteger(number)
	if !valid || !fits(exact) {
		n.addProblem("%s is not a whole number in range", number)
		return new(big.Int)
	}
	return exact
}

// count returns an integer, and records a problem if it is negative; 0 if absent or invalid.
func (n node) count() int64 {
	value := n.integer()
	if value < 0 {
		n.addProblem("it must not be negative")
		return 0
	}
	return value
}

// version returns the version field of a document or patch.
func (n node) version() uint64 {
	return n.field(versionField).integerWithin((*big.Int).IsUint64).Uint64()
}

// milliseconds returns a duration given in milliseconds; 0 if absent. A value above 0 never gives a duration of 0.
func (n node) milliseconds() time.Duration { return n.duration(time.Millisecond) }

// seconds returns a duration given in seconds; 0 if absent. A value above 0 never gives a duration of 0.
func (n node) seconds() time.Duration { return n.duration(time.Second) }

// duration returns a duration given in a unit, at least 1 ns if the value is above 0 and at most maxDuration.
func (n node) duration(unit time.Duration) time.Duration {
	value := n.number() * float64(unit)
	switch {
	case value <= 0:
		return 0
	case value < 1:
		return 1
	case value > float64(maxDuration):
		return maxDuration
	}
	return time.Duration(value)
}

// maxExponent bounds the exponents that exactInteger expands: a huge one would need a number of that many digits.
const maxExponent = 400

// exactInteger returns the integer that a text such as 7, 7.0 or 7e3 stands for, without rounding. It reports false for
// fractions, for numbers beyond the range of uint64 that are not plain digits, and for exponents beyond maxExponent.
func exactInteger(number json.Number) (*big.Int, bool) {
	text := number.String()
	if exact, valid := new(big.Int).SetString(text, 10); valid {
		return exact, true
	}
	if value, err := number.Float64(); err != nil || math.Abs(value) > math.MaxUint64 {
		return nil, false
	}
	if exponentTooLarge(text) {
		return nil, false
	}
	rational, valid := new(big.Rat).SetString(text)
	if !valid || !rational.IsInt() {
		return nil, false
	}
	return rational.Num(), true
}

// exponentTooLarge reports whether the text of a number has an exponent beyond maxExponent.
func exponentTooLarge(text string) bool {
	position := strings.IndexAny(text, "eE")
	if position < 0 {
		return false
	}
	exponent, err := strconv.Atoi(text[position+1:])
	return err != nil || exponent > maxExponent || exponent < -maxExponent
}

package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/big"
	"strconv"
	"strings"
	"time"

	"nickelline/internal/fault"
)

// maxProblems bounds how many problems of a document are told.
const maxProblems = 20

// maxDuration is where durations of the document are cut.
const maxDuration = 365 * 24 * time.Hour

// reader walks a decoded document by paths and collects the problems found on the way.
type problemCollector struct {
	// plain leaves out the paths, which cost more than the rest of the reading: problems are found, but not named.
	withoutPaths bool
	problems     []string
	omitted      int
}

func (r *problemCollector) add(path, format string, arguments ...any) {
	if len(r.problems) == maxProblems {
		r.omitted++
		return
	}
	text := fmt.Sprintf(format, arguments...)
	if path != "" {
		text = path + ": " + text
	}
	r.problems = append(r.problems, text)
}

// error gives all problems as one error of kind fault.InvalidConfiguration, nil if there are none.
func (r *problemCollector) error() error {
	if len(r.problems) == 0 {
		return nil
	}
	problems := r.problems
	if r.omitted > 0 {
		problems = append(problems, fmt.Sprintf("and %d more", r.omitted))
	}
	return fault.Wrap(fault.InvalidConfiguration, &invalidError{problems: problems})
}

// problemsError lists what is invalid in a document.
type invalidError struct{ problems []string }

func (e *invalidError) Error() string { return strings.Join(e.problems, "; ") }

// Problems gives what is invalid in a document, one by one, from the error that it was refused with.
func Problems(err error) []string {
	var listed *invalidError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &listed):
		return listed.problems
	}
	return []string{err.Error()}
}

// node is a value of the document and the path under which it stands.
type node struct {
	collector *problemCollector
	path      string
	value     any
}

func (n node) addProblem(format string, arguments ...any) {
	n.collector.add(n.path, format, arguments...)
}

// field gives a member of an object. It is absent if the object lacks it or it is null.
func (n node) field(name string) node {
	object, _ := n.value.(map[string]any)
	return node{collector: n.collector, path: n.fieldPath(name), value: object[name]}
}

func (n node) fieldPath(name string) string {
	switch {
	case n.collector.withoutPaths:
		return ""
	case n.path == "":
		return name
	}
	return n.path + "." + name
}

func (n node) elementPath(index int) string {
	if n.collector.withoutPaths {
		return ""
	}
	return n.path + "[" + strconv.Itoa(index) + "]"
}

func (n node) absent() bool { return n.value == nil }

// object tells whether the value is an object, and notes a problem if not.
func (n node) object() bool {
	if _, is := n.value.(map[string]any); !is {
		n.addProblem("an object is needed")
		return false
	}
	return true
}

// list gives the elements of a list; none for an absent one.
func (n node) list() []node {
	if n.absent() {
		return nil
	}
	values, is := n.value.([]any)
	if !is {
		n.addProblem("a list is needed")
		return nil
	}
	elements := make([]node, len(values))
	for i, value := range values {
		elements[i] = node{collector: n.collector, path: n.elementPath(i), value: value}
	}
	return elements
}

// text gives a string; an empty one if absent.
func (n node) text() string {
	if n.absent() {
		return ""
	}
	text, is := n.value.(string)
	if !is {
		n.addProblem("a string is needed")
	}
	return text
}

// requiredText gives a string that must not be empty.
func (n node) requiredText() string {
	if n.absent() {
		n.addProblem("it is missing")
		return ""
	}
	text := n.text()
	if text == "" {
		n.addProblem("it must not be empty")
	}
	return text
}

// flag gives a truth value; false if absent.
func (n node) flag() bool {
	if n.absent() {
		return false
	}
	flag, is := n.value.(bool)
	if !is {
		n.addProblem("true or false is needed")
	}
	return flag
}

// number gives a finite number that is not negative; 0 if absent.
func (n node) number() float64 {
	if n.absent() {
		return 0
	}
	number, is := n.value.(json.Number)
	if !is {
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

// whole gives a whole number, exactly; 0 if absent.
func (n node) whole() int64 {
	if n.absent() {
		return 0
	}
	return n.integer((*big.Int).IsInt64).Int64()
}

// integer gives a whole number, exactly; 0 if it does not fit.
func (n node) integer(fits func(*big.Int) bool) *big.Int {
	number, is := n.value.(json.Number)
	if !is {
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

// count gives a whole number that is not negative; 0 if absent.
func (n node) count() int64 {
	value := n.whole()
	if value < 0 {
		n.addProblem("it must not be negative")
		return 0
	}
	return value
}

// version gives the version of a document or patch.
func (n node) version() uint64 {
	return n.field(versionField).integer((*big.Int).IsUint64).Uint64()
}

// milliseconds gives a duration stated in milliseconds; 0 if absent. What is above 0 stays above 0.
func (n node) milliseconds() time.Duration { return n.duration(time.Millisecond) }

// seconds gives a duration stated in seconds; 0 if absent. What is above 0 stays above 0.
func (n node) seconds() time.Duration { return n.duration(time.Second) }

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

// maxExponent bounds the exponents that exactInteger expands.
const maxExponent = 400

// exactInteger reads a number such as 7, 7.0 or 7e3 without rounding; it is not valid for fractions.
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

func exponentTooLarge(text string) bool {
	mark := strings.IndexAny(text, "eE")
	if mark < 0 {
		return false
	}
	exponent, err := strconv.Atoi(text[mark+1:])
	return err != nil || exponent > maxExponent || exponent < -maxExponent
}

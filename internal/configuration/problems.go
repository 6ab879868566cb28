package configuration

import (
	"errors"
	"fmt"
	"strings"

	"nickelline/internal/fault"
)

// maxProblems bounds how many problems of a document are listed.
const maxProblems = 20

// problemCollector collects the problems that are found in a document.
type problemCollector struct {
	// withoutPaths leaves out the paths, which cost more than the rest of the reading: problems are found, but not located.
	withoutPaths bool
	problems     []string
	omitted      int
}

// add takes the problem of the value at a path.
func (c *problemCollector) add(path, format string, arguments ...any) {
	if len(c.problems) == maxProblems {
		c.omitted++
		return
	}
	text := fmt.Sprintf(format, arguments...)
	if path != "" {
		text = path + ": " + text
	}
	c.problems = append(c.problems, text)
}

// error returns all problems as one error of kind fault.InvalidConfiguration, nil if there are none.
func (c *problemCollector) error() error {
	if len(c.problems) == 0 {
		return nil
	}
	problems := c.problems
	if c.omitted > 0 {
		problems = append(problems, fmt.Sprintf("and %d more", c.omitted))
	}
	return fault.Wrap(fault.InvalidConfiguration, &invalidError{problems: problems})
}

// invalidError lists what is invalid in a document.
type invalidError struct{ problems []string }

func (e *invalidError) Error() string { return strings.Join(e.problems, "; ") }

// Problems returns what is invalid in a document, one by one, from the error with which it was refused.
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

package control

import (
	"context"

	"nickelline/internal/fault"
)

// ChangeLeaseholders has a change of the set of leaseholders committed and returns the set after the change. After an error of
// kind fault.VersionConflict the change was not made and never will be. After any other error it may have been made, or may
// still be made later unless another change is made first.
func (c *Control) ChangeLeaseholders(ctx context.Context, change *ChangeLeaseholders) (LeaseholderSet, error) {
	if c.service == nil {
		return LeaseholderSet{}, fault.New(fault.NotReady, "this node keeps no replica")
	}
	result, err := c.service.proposeOnce(ctx, &Command{ChangeLeaseholders: change})
	if err != nil {
		return LeaseholderSet{}, err
	}
	leaseholders := c.machine.State().Leaseholders
	if leaseholders.Revision != result.Version {
		return LeaseholderSet{}, fault.New(fault.NotReady, "leaseholders at this node have revision %d, not %d", leaseholders.Revision, result.Version)
	}
	return leaseholders, nil
}

package control

import (
	"nickelline/internal/configuration"
	"nickelline/internal/fault"
)

// validateRequest refuses a change of the configuration that is invalid whatever the current configuration is.
func validateRequest(request *Configure) error {
	version, err := validateBody(request)
	if err != nil {
		return err
	}
	if version <= request.Match {
		return fault.New(fault.InvalidConfiguration, "version %d is not above %d, on which it builds", version, request.Match)
	}
	return nil
}

// validateBody checks a document or a patch without the current configuration, and returns the version that it sets.
func validateBody(request *Configure) (version uint64, err error) {
	if request.Patch {
		patch, err := configuration.ParsePatch(request.Body)
		if err != nil {
			return 0, err
		}
		return patch.Version(), nil
	}
	document, err := configuration.Parse(request.Body)
	if err != nil {
		return 0, err
	}
	return document.Version(), configuration.Check(document)
}

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
	return document.Version(), checkReadable(document)
}

// maxDocumentBytes bounds the encoded configuration, to which patches add, so that it fits into messages.
const maxDocumentBytes = maxBodyBytes

// checkReadable returns an error of kind fault.InvalidConfiguration unless all processes can read a document: what they read is its
// encoded form.
func checkReadable(document *configuration.Document) error {
	encoded := document.Encode()
	if len(encoded) > maxDocumentBytes {
		return fault.New(fault.InvalidConfiguration, "the configuration would have %d bytes, at most %d are allowed", len(encoded), maxDocumentBytes)
	}
	_, _, err := configuration.Read(encoded)
	return err
}

// validatePatch refuses a patch whose result not all processes can read. A request that builds on another version than the current one
// is not checked here, as it will be refused.
func validatePatch(current *State, request *Configure) error {
	if !request.Patch || current.Version() != request.Match {
		return nil
	}
	patched, err := requestedDocument(current.Document, request)
	if err != nil {
		return err
	}
	return checkReadable(patched)
}

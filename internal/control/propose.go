package control

import (
	"context"
	"time"

	"nickelline/internal/fault"
	"nickelline/internal/pause"
)

// propose has a command committed and returns its result. It retries even if an attempt may have been committed, as applying
// a command of the operator twice is harmless. The error is of kind fault.NotReady if the command was certainly not committed,
// fault.Unclear if it may have been, and that of Result.Err if the command was applied and not accepted.
func (s *service) propose(ctx context.Context, command *Command) (Result, error) {
	encoded, err := EncodeCommand(command)
	if err != nil {
		return Result{}, err
	}
	var result Result
	unclear := false
	err = s.retry(ctx, s.callTimeout+sizeTimeout(len(encoded)), func(ctx context.Context) error {
		reply, err := s.replica.Propose(ctx, encoded)
		if err != nil {
			unclear = unclear || fault.KindOf(err) != fault.NotReady
			return err
		}
		result, err = DecodeResult(reply)
		unclear = unclear || err != nil
		return err
	})
	switch {
	case err == nil:
		return result, result.Err()
	case unclear:
		return Result{}, fault.New(fault.Unclear, "the order may have been taken: %v", err)
	}
	return Result{}, fault.New(fault.NotReady, "the order was not taken: %v", err)
}

// proposeOnce has a command committed and returns its result. It does not retry.
func (s *service) proposeOnce(ctx context.Context, command *Command) (Result, error) {
	encoded, err := EncodeCommand(command)
	if err != nil {
		return Result{}, err
	}
	reply, err := s.replica.Propose(ctx, encoded)
	if err != nil {
		return Result{}, err
	}
	result, err := DecodeResult(reply)
	if err != nil {
		return Result{}, err
	}
	return result, result.Err()
}

// sizeTimeout returns the addition to the timeout of a call for a command of a number of bytes.
func sizeTimeout(bytes int) time.Duration {
	const megabyte = 1 << 20
	return callTimeoutPerMegabyte * time.Duration(bytes) / megabyte
}

// retry calls an operation until it succeeds or the timeout has passed, and returns the error of the last call.
func (s *service) retry(ctx context.Context, timeout time.Duration, operation func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		err := operation(ctx)
		if err == nil || !pause.For(ctx, s.retryInterval) {
			return err
		}
	}
}

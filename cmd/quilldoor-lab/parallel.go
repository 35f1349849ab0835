package main

import "golang.org/x/sync/errgroup"

// parallel calls do for each of 0 to n-1, at most jobs at once, and returns the error
// of the lowest index.
func parallel(n, jobs int, do func(i int) error) error {
	errs := make([]error, n)
	var group errgroup.Group
	group.SetLimit(max(jobs, 1))
	for i := range n {
		group.Go(func() error {
			errs[i] = do(i)
			return nil
		})
	}
	_ = group.Wait() // the errors are in errs
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

package main

import "golang.org/x/sync/errgroup"

// parallel calls do with each index from 0 to n-1, at most jobs calls at once. It makes all calls
// even if some fail, and returns the error of the lowest index that failed.
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
	_ = group.Wait() // always nil: the errors are in errs
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

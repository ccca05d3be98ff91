// Package contract holds the configuration that operators set: workloads,
// domains, targets and the contracts of customers.
//
// The configuration is a State that is changed by Change values in log order.
// Each Change names the version that it was made from; of two changes made
// from the same version, the first on the log is applied and the second is
// refused with a ConflictError. The items of a Change are applied together or
// not at all. The package performs no I/O and is not safe for concurrent use; the caller
// publishes copies made by State.Clone.
package contract

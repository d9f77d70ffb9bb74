// Package port holds the interfaces between the decision packages and the
// adapters that connect them to clocks, disks and networks.
package port

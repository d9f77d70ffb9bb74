// Package share orders waiting work: by weighted dominant-resource fairness
// between teams and by waiting and predicted run time, blended by one weight.
package share

// Package bench provides the command `pearyard bench`, which combines the benchmark
// commands of other packages.
//
// May import of pearyard: limit/limitbench, measure, membership/memberbench,
// route/routebench.
package bench

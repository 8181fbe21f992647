// Package clients plays clients that misuse a gateway, or just leave it, on real processes, and measures what other
// clients see meanwhile. A play starts one gateway with a memory limit, its stand-in caches and a discovery server on
// loopback, and sends a steady load of sound lookups beside the misuse. Its Report is judged by the stated bounds alone:
// memory within the limit, no sound lookup lost or late, and no lookup with side effects sent twice.
//
// A Run owns all processes, servers and connections that it starts, and ends them before it returns. Each play has a fixed
// duration. What it draws comes from its seed.
package clients

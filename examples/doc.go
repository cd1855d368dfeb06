// Package examples holds tables and settings for the two deployments of section 1.2 of the design page. Each node
// listens on its own loopback address, 127.0.0.N, and all nodes use the same ports.
package examples

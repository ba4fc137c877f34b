// Package reporter draws the figures of many replays, by policy and load, as one
// HTML page.
//
// The page holds its charts as SVG and loads nothing from outside. go-echarts
// would be the richer library, but its pages fetch their script from a host on
// the network at the moment of reading, which an operator's machine may not
// reach.
package reporter

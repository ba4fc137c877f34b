// Package reporter renders the figures of many replays, by policy and load, as a
// single HTML page.
//
// The page embeds its charts as SVG and loads nothing over the network. go-echarts
// has more features, but its pages load a script from another host when they are
// opened, and an operator's machine may not reach that host.
package reporter

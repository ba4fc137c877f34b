// Command stoathitch is the command-line tool for callers and operators.
package main

func main() {}

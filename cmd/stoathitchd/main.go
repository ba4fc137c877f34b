// Command stoathitchd is the daemon.
package main

func main() {}

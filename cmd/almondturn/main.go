// Command almondturn runs one node, or a whole small deployment for trials.
package main

func main() {}

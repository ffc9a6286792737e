// Command balsamleaf is under construction.
package main

func main() {}

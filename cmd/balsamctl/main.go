// Command balsamctl is under construction.
package main

func main() {}

// Command balsamwinch is under construction.
package main

func main() {}

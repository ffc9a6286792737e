// Command balsamload is under construction.
package main

func main() {}

// Command jayridge runs every role of the router fleet and the operators' commands.
package main

func main() {}

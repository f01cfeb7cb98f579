// Command bronzeyardctl is the operators' program.
package main

func main() {}

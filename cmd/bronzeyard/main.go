// Command bronzeyard runs one host of the fleet.
package main

func main() {}

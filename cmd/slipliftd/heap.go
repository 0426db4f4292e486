package main

import "runtime"

// heapFloor is the size in bytes that the collector takes the heap to have at
// least. A node's own heap is a few megabytes, while a request leaves some 40 kB
// of garbage, so without a floor the collector would run many times a second
// and take about as much time as the requests do. The floor costs as many bytes
// of garbage between two collections, and does not grow with the heap as a
// higher GOGC would.
const heapFloor = 32 << 20

// raiseHeapFloor sets the floor until the returned function is called. The
// memory is never written to, so the system gives it none.
func raiseHeapFloor() (lower func()) {
	ballast := make([]byte, heapFloor)
	return func() { runtime.KeepAlive(ballast) }
}

// Package backend decides what the daemon's own backend server gets.
//
// A Gate stands in front of one backend server. It admits as many requests at
// once as its window allows, queues a few more, shares the backend server
// fairly between customers by weight, and refuses the rest before they have
// run. Because the gate is beside the backend server, its bound holds whatever
// far daemons believe.
//
// The window is a type parameter. Adaptive starts small, grows on answers while
// it is full, shrinks when the backend server sheds, and starts over as soon as
// a connection to the backend server breaks, which is the first sign of a
// restart. Open bounds nothing and serves for comparison.
//
// A Quarantine holds back requests that were running each time the backend
// server died.
package backend

// Package standin has small stand-ins for the systems around the mesh: the
// platform and a backend server. They are test tools, not part of the product,
// and stand for the outer systems' protocols alone.
package standin

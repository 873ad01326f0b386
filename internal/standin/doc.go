// Package standin implements simple stand-ins for the systems around the mesh: the
// platform and a backend server. They are test tools and not part of the product, and
// implement only the protocols of those systems.
package standin

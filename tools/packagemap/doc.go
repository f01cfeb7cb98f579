// Package packagemap writes docs/packages.md, the map of the project's packages and their imports, from the sources.
package packagemap

// Package membership keeps the roster of the zone and the view of the live nodes.
package membership

// Package placement says in which fabric domain a new group should stand:
// spread over failure domains, with spares left where hosts allow.
package placement

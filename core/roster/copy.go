package roster

// CopyGroups returns a copy of the table that has only the servers of the given groups. Changes to it and
// to its servers don't affect the table.
func (t *Table) CopyGroups(groups []string) *Table {
	c := *t
	c.servers, c.groups, c.addresses = map[string]*Server{}, map[string][]*Server{}, nil
	for _, name := range groups {
		if c.groups[name] != nil {
			continue
		}
		for _, s := range t.groups[name] {
			server := *s
			c.servers[s.Key] = &server
			c.groups[name] = append(c.groups[name], &server)
		}
	}
	return &c
}

package scheduler

// String returns the source's name, empty for none.
func (s Source) String() string {
	return [...]string{"", "memory", "disk", "store"}[s]
}

// String returns the result's name.
func (r OrderResult) String() string {
	return [...]string{"accepted", "done", "rejected", "unknown"}[r]
}

// String returns the reason's name.
func (r Reason) String() string {
	return [...]string{"", "elsewhere", "overloaded"}[r]
}

// String returns the operation's name.
func (o Operation) String() string {
	if o == Load {
		return "load"
	}
	return "unload"
}

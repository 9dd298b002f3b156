package scheduler

// String returns the name of the source as used in logs and metrics, empty for none.
func (s Source) String() string {
	return [...]string{"", "memory", "disk", "store"}[s]
}

// String returns the name of the result as used in logs and metrics.
func (r OrderResult) String() string {
	return [...]string{"accepted", "done", "rejected", "unknown", "not_sent"}[r]
}

// String returns the name of the reason as used in logs and metrics.
func (r Reason) String() string {
	return [...]string{"", "elsewhere", "overloaded"}[r]
}

// String returns the name of the operation as used in logs and metrics.
func (o Operation) String() string {
	if o == Load {
		return "load"
	}
	return "unload"
}

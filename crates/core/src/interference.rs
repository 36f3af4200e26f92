//! How much one kind of task slows another, learned from lagging reports.

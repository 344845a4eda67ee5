"""Settings of daemons and operators: schema, parsing, store, watch and status report."""

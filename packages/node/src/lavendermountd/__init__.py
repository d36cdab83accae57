"""Load balancer node: the process that runs beside each target."""

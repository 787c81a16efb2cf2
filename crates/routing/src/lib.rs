//! Routing decisions of the balancer: tables, routes, hints and the retry budget.

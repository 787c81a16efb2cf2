use usher_events::events;

events! {
    STARTED = 2001, Info, "node started";
    STOPPING = 2002, Info, "node stops as planned";
    STOPPED = 2003, Info, "node stopped";
    SETTINGS_READ = 2004, Info, "settings read again";
    SETTINGS_REFUSED = 2005, Warn, "settings not valid; the earlier ones stay in force";
    LINES_LOST = 2006, Warn, "log lines dropped";
    READY = 2007, Info, "readiness changed";
    RESUMED = 2008, Warn, "process was suspended";
    CONFIGURED = 2101, Info, "configuration in force";
    CONFIG_UNREADABLE = 2102, Error, "configuration not understood; the earlier one stays in force";
    CONFIG_FETCH_FAILED = 2103, Warn, "configuration not fetched from a balancer";
    STORE_LOST = 2111, Warn, "store does not serve this node";
    STORE_BACK = 2112, Info, "store serves this node";
    HISTORY_GONE = 2113, Info, "store has dropped its history; reading again";
    REGISTERED = 2114, Info, "balancer registered in the store";
    BALANCER_FOUND = 2121, Info, "balancer heard";
    BALANCER_FORGOTTEN = 2122, Info, "balancer forgotten";
    HOST_CHANGED = 2131, Info, "host changed";
    HOSTS_FORGOTTEN = 2132, Info, "silent hosts forgotten";
    BACKEND_STARTED = 2141, Info, "backend server started";
    BACKEND_CHANGED = 2142, Info, "backend server changed state";
    BACKEND_LEFT = 2143, Info, "backend server left";
    HEARTBEAT_REFUSED = 2144, Warn, "heartbeat not usable";
    HEARTBEAT_LATE = 2145, Info, "heartbeat overtaken by a later one";
    FLOW_PLACED = 2201, Info, "flow placed";
    FLOW_SEARCHED = 2202, Info, "flow searched";
    FLOW_REFUSED = 2203, Info, "flow refused";
    FLOW_RESET = 2204, Info, "flow reset, its host is gone";
    PACKET_DROPPED = 2205, Info, "packet dropped";
    FLOW_ACCEPTED = 2211, Info, "flow accepted";
    FLOW_PASSED = 2212, Info, "packet passed to another agent";
    FLOW_MISSING = 2213, Info, "flow not found at any agent";
    MALFORMED = 2301, Debug, "malformed input ignored";
    RECEIVE_FAILED = 2302, Warn, "datagrams not received";
    SEND_FAILED = 2303, Debug, "datagram not taken by the system";
}

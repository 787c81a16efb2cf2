use usher_events::events;

events! {
    STARTED = 1001, Info, "process started";
    STOPPING = 1002, Info, "planned stop began";
    STOPPED = 1003, Info, "process stopped";
    WAITING = 1004, Info, "planned stop waits for work";
    JOINED = 1101, Info, "joined the roster";
    LEFT = 1102, Info, "left the roster";
    ROSTER = 1103, Info, "roster adopted";
    SUSPECTED = 1104, Warn, "member suspected";
    RESTORED = 1105, Info, "member responds again";
    REMOVED = 1106, Warn, "member removed from the roster";
    ROSTER_WRITE = 1107, Warn, "roster write failed";
    UNLISTED = 1108, Warn, "removed from the fleet by other balancers; rejoining";
    CONFIG = 1201, Info, "configuration adopted";
    CONFIG_PEER = 1202, Info, "configuration fetched from a peer";
    CONFIG_INVALID = 1203, Error, "object cannot be parsed";
    CONFIG_OUTDATED = 1204, Info, "older object from the store ignored";
    STORE_DOWN = 1301, Warn, "store not reachable";
    STORE_UP = 1302, Info, "store reachable";
    STORE_RESTORED = 1303, Warn, "store restored from a copy; reading again";
    STORE_LATE = 1304, Info, "late answers of an earlier era of the store ignored";
    WRITTEN_AGAIN = 1305, Info, "lost object written again";
    WRITE_AGAIN_FAILED = 1306, Warn, "lost object not written again yet";
    BACKEND_UP = 1401, Info, "backend server connected";
    BACKEND_DOWN = 1402, Warn, "backend server not reachable";
    HANDED_OVER = 1501, Info, "flows handed over";
    HANDOVER_FAILED = 1502, Warn, "handover failed";
    RECORDS_HANDED = 1503, Info, "dedupe records handed over";
    MALFORMED = 1601, Debug, "malformed datagram dropped";
    SEND_FAILED = 1602, Debug, "datagram not sent";
}

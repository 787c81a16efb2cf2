use std::net::SocketAddrV4;

use usher_types::{Buckets, Generation, HostId, ServiceName, Span};

const DEFAULT_IDLE: Span = Span::from_secs(3_600);
// Long enough for several retries of a lost registration.
const DEFAULT_SETTLE: Span = Span::from_secs(10);

/// Parameters of a flow table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Service of this host.
    pub service: ServiceName,
    /// Oldest generation of the service's address that is served.
    pub generation: Generation,
    /// Number of buckets of the service.
    pub buckets: Buckets,
    /// This host.
    pub host: HostId,
    /// UDP address of this agent.
    pub agent: SocketAddrV4,
    /// Queue wait above which new flows are hunted: forwarded to the second candidate.
    pub hunt_threshold: Span,
    /// Time without traffic after which a flow expires.
    pub idle: Span,
    /// Time after all members adopt a roster before unknown flows are reset.
    pub settle: Span,
}

impl Settings {
    /// Settings with the default idle (1 h) and settle (10 s) times.
    ///
    /// ```
    /// use usher_flows::Settings;
    /// use usher_types::{Buckets, Generation, Span};
    /// let settings = Settings::new(
    ///     "booking-desk".parse()?,
    ///     Generation::new(1),
    ///     Buckets::new(4_096),
    ///     "booking-desk-1".parse()?,
    ///     "127.0.0.1:7001".parse().unwrap(),
    ///     Span::from_millis(5),
    /// );
    /// assert_eq!(settings.idle, Span::from_secs(3_600));
    /// # Ok::<(), usher_types::ParseError>(())
    /// ```
    pub fn new(
        service: ServiceName,
        generation: Generation,
        buckets: Buckets,
        host: HostId,
        agent: SocketAddrV4,
        hunt_threshold: Span,
    ) -> Self {
        Self {
            service,
            generation,
            buckets,
            host,
            agent,
            hunt_threshold,
            idle: DEFAULT_IDLE,
            settle: DEFAULT_SETTLE,
        }
    }
}

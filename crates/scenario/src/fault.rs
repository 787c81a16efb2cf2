use std::net::SocketAddrV4;

use usher_types::{HostId, Peer, ProfileName, ServiceName, Span};

/// What a scenario does to the system at a given time.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Fault {
    /// Ends a process and, for a host, its backend server, without notice.
    Kill(Peer),
    /// Starts a balancer.
    StartBalancer(Peer),
    /// Adds a host to a service.
    StartHost(HostId, ServiceName),
    /// Begins a planned stop of an agent; `again` starts a new process afterwards.
    Stop { host: HostId, again: bool },
    /// Begins a drain without a stop.
    Drain(HostId),
    /// Pauses every process of a machine.
    Freeze(Peer, Span),
    /// Loses every packet between one process and others; `store` is a name too.
    Cut(String, Vec<String>, Span),
    /// The store answers nobody.
    StoreDown(Span),
    /// The next writes take effect and their answers are lost.
    LoseAnswers(u32),
    /// Half of the reads see the state at the start of this time.
    StoreStale(Span),
    /// An operator changes fields of a profile.
    Set(ProfileName, Vec<String>),
    /// Two operators change one profile after reading the same version.
    Race(ProfileName, [String; 2]),
    /// An operator deletes a profile.
    Delete(ProfileName),
    /// Two services exchange their addresses through a third one.
    Swap(ServiceName, ServiceName),
    /// An operator gives a service another address.
    Move(ServiceName, SocketAddrV4),
    /// The backend server refuses or fails every run.
    Backend(HostId, BackendMode, Span),
    /// Callers open flows.
    Open(usize, ServiceName),
    /// A setting of the network, the store's watches or the callers.
    Setting(Setting),
}

/// How a backend server treats runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum BackendMode {
    /// It runs them.
    #[default]
    Up,
    /// No run starts.
    Down,
    /// Every run ends at once with an error.
    Fails,
}

/// One setting; it holds until it is set again.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Setting {
    /// Least and greatest delay of a packet.
    Delay(Span, Span),
    /// Share of packets that are lost.
    Loss(f64),
    /// Share of packets that arrive twice.
    Duplicate(f64),
    /// Share of packets of which a copy arrives up to this much later.
    Late(f64, Span),
    /// Least and greatest delay of a watch's answer.
    Watch(Span, Span),
    /// Share of requests that are sent on a second flow too.
    Twice(f64),
    /// Callers repeat an unanswered request after this time, on another flow.
    Resend(Span, u16),
    /// Length of an answer's text in bytes.
    Answer(usize),
}

use std::net::SocketAddrV4;

use usher_types::{HostId, Peer, ProfileName, ServiceName, Span};

/// Action of a scenario at a given time, mostly a fault.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Fault {
    /// Kills a process and, on a host, its backend server.
    Kill(Peer),
    /// Starts a balancer, on a new instance if none has this name.
    StartBalancer(Peer),
    /// Starts an agent, on a new host if none has this name.
    StartHost(HostId, ServiceName),
    /// Stops an agent after a drain; `restart` starts a new process afterwards.
    Stop { host: HostId, restart: bool },
    /// Drains an agent without stopping it.
    Drain(HostId),
    /// Pauses every process of a machine.
    Freeze(Peer, Span),
    /// Drops every packet between one machine and others, or the machine and `store`.
    Cut(String, Vec<String>, Span),
    /// No process or operator reaches the store.
    StoreDown(Span),
    /// The next writes take effect, but their answers are lost.
    LoseAnswers(u32),
    /// For this time, half of the reads see the state at its start.
    StoreStale(Span),
    /// Keeps a copy of the store.
    CopyStore,
    /// Restores the store from the copy kept last.
    RestoreStore,
    /// An operator changes fields of a profile.
    SetProfile(ProfileName, Vec<String>),
    /// Two operators change one profile after reading the same version.
    RaceProfile(ProfileName, [String; 2]),
    /// An operator deletes a profile.
    DeleteProfile(ProfileName),
    /// An operator exchanges the addresses of two services by way of a free address.
    Swap(ServiceName, ServiceName),
    /// An operator gives a service another address.
    MoveService(ServiceName, SocketAddrV4),
    /// The backend server refuses or fails every run.
    Backend(HostId, BackendMode, Span),
    /// Callers open flows.
    OpenFlows(usize, ServiceName),
    /// A setting of the network, the store's watches or the callers.
    Setting(Setting),
}

/// How a backend server responds to run requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum BackendMode {
    /// Runs them.
    #[default]
    Up,
    /// Refuses every run.
    Down,
    /// Fails every run at once.
    Fails,
}

/// One setting, in force until it is set again.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Setting {
    /// Least and greatest delay of a packet.
    Delay(Span, Span),
    /// Share of packets that are lost.
    Loss(f64),
    /// Share of packets that arrive twice.
    Duplicate(f64),
    /// Share of packets of which a further copy arrives, delayed by up to this time.
    Late(f64, Span),
    /// Least and greatest delay until a watch reports a change.
    Watch(Span, Span),
    /// Share of requests that are sent twice, each time on a random flow.
    Twice(f64),
    /// Interval and maximum number of transmissions of an unanswered request.
    Resend(Span, u16),
    /// Length of an answer's text in bytes.
    Answer(usize),
}

use std::net::{Ipv4Addr, SocketAddrV4};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use usher_types::{FlowId, Span, Time};

use crate::model::Deployment;

/// Address of the simulated service.
pub(crate) const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, 1), 80);
// Address of the first caller, 10.0.0.0, as a number.
const FIRST_CALLER: u32 = 0x0A00_0000;
const FIRST_PORT: u16 = 10_000;
const FLOWS_PER_ADDRESS: usize = 20_000;
// Least time between the opening of a flow and its first request.
const OPEN_DELAY: Span = Span::from_millis(100);
// Longer than any deadline, so that all requests of a flow have ended when it closes.
const CLOSE_DELAY: Span = Span::from_secs(15);
// Share of the flows that stay open until the end when `churn` is set.
const LONG_LIVED_SHARE: f64 = 0.5;
const MEAN_LIFETIME_S: f64 = 20.0;

/// When flows open and how many requests arrive over time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadProfile {
    /// Open flows per host.
    pub flows: usize,
    /// Time over which the flows open at an even rate.
    pub ramp: Span,
    /// Time after which no request arrives.
    pub end: Span,
    /// Load outside the burst, as a share of the capacity.
    pub load: f64,
    /// Start, end and load of a burst of requests.
    pub burst: Option<(Span, Span, f64)>,
    /// Whether half of the flows are replaced after 20 s on average.
    pub churn: bool,
    /// Whether long requests are left out; the other requests stay the same.
    pub skip_long: bool,
}

/// A connection of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Flow {
    /// Identifier of the flow.
    pub id: FlowId,
    /// When the caller opens it.
    pub opens: Time,
    /// When the caller closes it, after all its requests have ended.
    pub closes: Option<Time>,
}

/// One request of the workload.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// When the caller sends it.
    pub at: Time,
    /// Index of its flow in the workload.
    pub flow: usize,
    /// Index of its kind in the deployment's mix.
    pub kind: usize,
    /// Running time on a host of speed 1.
    pub work: Span,
}

/// Flows and requests of one run, the same for all subjects.
///
/// They are generated from a seed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workload {
    /// Flows; those that replace one another are adjacent, in order of opening.
    pub flows: Vec<Flow>,
    /// Requests in order of arrival.
    pub arrivals: Vec<Arrival>,
}

impl Workload {
    /// Generates a workload.
    ///
    /// Each kind of request has a random stream of its own, so leaving out the long ones does not
    /// change the others.
    ///
    /// ```
    /// use usher_bench::model::{Deployment, Workload, LoadProfile};
    /// use usher_types::Span;
    /// let ramp = Span::from_secs(1);
    /// let load_profile = LoadProfile { flows: 10, ramp, end: ramp * 2, load: 0.5, burst: None, churn: false, skip_long: false };
    /// let workload = Workload::draw(&Deployment::riga(), load_profile, 1);
    /// assert_eq!(workload.flows.len(), 70);
    /// ```
    pub fn draw(site: &Deployment, load_profile: LoadProfile, seed: u64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let count = load_profile.flows * site.speeds.len();
        let mut chains: Vec<Vec<usize>> = Vec::new();
        let mut flows = Vec::new();
        for chain in 0..count {
            let opens = Time::ZERO + load_profile.ramp.scale(chain as f64 / count as f64);
            chains.push(draw_flows(&mut rng, &mut flows, opens, load_profile));
        }
        let mut arrivals = Vec::new();
        for kind in 0..site.mix.len() {
            if load_profile.skip_long && site.mix[kind].long {
                continue;
            }
            let mut rng = Pcg64::seed_from_u64(seed ^ (kind as u64 + 1) << 32);
            draw_requests(
                site,
                load_profile,
                kind,
                &mut rng,
                (&chains, &flows),
                &mut arrivals,
            );
        }
        arrivals.sort_by_key(|arrival| (arrival.at, arrival.kind, arrival.flow));
        Self { flows, arrivals }
    }
}

// Adds flows that replace one another and returns their indexes.
fn draw_flows(
    rng: &mut Pcg64,
    flows: &mut Vec<Flow>,
    opens: Time,
    load_profile: LoadProfile,
) -> Vec<usize> {
    let long_lived = !load_profile.churn || rng.random_bool(LONG_LIVED_SHARE);
    let mut opens = opens;
    let mut indexes = Vec::new();
    loop {
        let number = flows.len();
        indexes.push(number);
        let lifetime = Span::from_secs_f64(exponential(rng) * MEAN_LIFETIME_S);
        let next = opens + lifetime;
        let ends = !long_lived && next < Time::ZERO + load_profile.end;
        flows.push(Flow {
            id: flow_id(rng, number),
            opens,
            closes: ends.then(|| next + CLOSE_DELAY),
        });
        if !ends {
            return indexes;
        }
        opens = next;
    }
}

/// Index of a flow in its workload, computed from the caller's address and port.
pub(crate) fn flow_number(id: &FlowId) -> usize {
    let address = u32::from(*id.caller.ip()) - FIRST_CALLER;
    address as usize * FLOWS_PER_ADDRESS + usize::from(id.caller.port() - FIRST_PORT)
}

fn flow_id(rng: &mut Pcg64, number: usize) -> FlowId {
    let address = Ipv4Addr::from(FIRST_CALLER + (number / FLOWS_PER_ADDRESS) as u32);
    let port = FIRST_PORT + (number % FLOWS_PER_ADDRESS) as u16;
    FlowId {
        caller: SocketAddrV4::new(address, port),
        service: SERVICE,
        nonce: rng.random(),
    }
}

// Adds the requests of one kind, with exponentially distributed times between them.
fn draw_requests(
    site: &Deployment,
    load_profile: LoadProfile,
    kind: usize,
    rng: &mut Pcg64,
    (chains, flows): (&[Vec<usize>], &[Flow]),
    out: &mut Vec<Arrival>,
) {
    let work = site.mix[kind];
    let total: f64 = site.mix.iter().map(|work| work.share).sum();
    let mut at = Time::ZERO;
    loop {
        let rate = site.rate(load_at(load_profile, at)) * work.share / total;
        at = at + Span::from_secs_f64(exponential(rng) / rate);
        if at >= Time::ZERO + load_profile.end {
            return;
        }
        let mut factor = rng.random_range(0.5..1.5);
        if !work.long && rng.random_bool(site.straggler_share) {
            factor *= site.straggler_factor;
        }
        let chain = &chains[rng.random_range(0..chains.len())];
        let open = |number: &&usize| flows[**number].opens + OPEN_DELAY <= at;
        if let Some(flow) = chain.iter().rev().find(open) {
            out.push(Arrival {
                at,
                flow: *flow,
                kind,
                work: work.time.scale(factor),
            });
        }
    }
}

fn load_at(load_profile: LoadProfile, at: Time) -> f64 {
    let since = at - Time::ZERO;
    match load_profile.burst {
        Some((from, until, load)) if since >= from && since < until => load,
        _ => load_profile.load,
    }
}

// Exponentially distributed value with mean 1.
fn exponential(rng: &mut Pcg64) -> f64 {
    -rng.random::<f64>().max(f64::MIN_POSITIVE).ln()
}

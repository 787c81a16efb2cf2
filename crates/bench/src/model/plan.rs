use std::net::{Ipv4Addr, SocketAddrV4};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use usher_types::{FlowId, Span, Time};

use crate::model::Deployment;

/// Service address of the simulated service.
pub(crate) const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, 1), 80);
const CALLERS: u32 = 0x0A00_0000;
const FIRST_PORT: u16 = 10_000;
const FLOWS_PER_ADDRESS: usize = 20_000;
// Time between the planned opening of a flow and its first request.
const OPENING: Span = Span::from_millis(100);
// Later than the deadline of each request of the flow.
const CLOSING: Span = Span::from_secs(15);
const LONG_LIVED: f64 = 0.5;
const LIFETIME: f64 = 20.0;

/// When flows open and how the rate of requests changes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shape {
    /// Open flows per host.
    pub flows: usize,
    /// Flows open evenly over this time.
    pub ramp: Span,
    /// End of the last arrival.
    pub end: Span,
    /// Load as a share of capacity outside the rush.
    pub load: f64,
    /// Start, end and load of the rush.
    pub rush: Option<(Span, Span, f64)>,
    /// Whether half of the flows are replaced after 20 s on average.
    pub churn: bool,
    /// Whether long requests are left out; the others stay the same.
    pub skip_long: bool,
}

/// A connection of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Flow {
    /// Its identity.
    pub id: FlowId,
    /// When the caller opens it.
    pub opens: Time,
    /// When the caller closes it, after all its requests have ended.
    pub closes: Option<Time>,
}

/// One request of the workload, the same for every policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// When the caller sends it.
    pub at: Time,
    /// Index of the flow.
    pub flow: usize,
    /// Index into the mix.
    pub kind: usize,
    /// Work at speed 1.
    pub work: Span,
}

/// Flows and requests of one run, drawn from a seed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Flows in the order of their opening in each place.
    pub flows: Vec<Flow>,
    /// Requests in the order of time.
    pub arrivals: Vec<Arrival>,
}

impl Plan {
    /// Draws a workload; long arrivals come from their own stream, so leaving them out changes
    /// nothing else.
    ///
    /// ```
    /// use usher_bench::model::{Deployment, Plan, Shape};
    /// use usher_types::Span;
    /// let ramp = Span::from_secs(1);
    /// let shape = Shape { flows: 10, ramp, end: ramp * 2, load: 0.5, rush: None, churn: false, skip_long: false };
    /// let plan = Plan::draw(&Deployment::riga(), shape, 1);
    /// assert_eq!(plan.flows.len(), 70);
    /// ```
    pub fn draw(site: &Deployment, shape: Shape, seed: u64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let count = shape.flows * site.speeds.len();
        let mut places: Vec<Vec<usize>> = Vec::new();
        let mut flows = Vec::new();
        for place in 0..count {
            let opens = Time::ZERO + shape.ramp.scale(place as f64 / count as f64);
            places.push(chain(&mut rng, &mut flows, opens, shape));
        }
        let mut arrivals = Vec::new();
        for kind in 0..site.mix.len() {
            if shape.skip_long && site.mix[kind].long {
                continue;
            }
            let mut rng = Pcg64::seed_from_u64(seed ^ (kind as u64 + 1) << 32);
            draw_kind(
                site,
                shape,
                kind,
                &mut rng,
                (&places, &flows),
                &mut arrivals,
            );
        }
        arrivals.sort_by_key(|arrival| (arrival.at, arrival.kind, arrival.flow));
        Self { flows, arrivals }
    }
}

// One place holds one flow after another.
fn chain(rng: &mut Pcg64, flows: &mut Vec<Flow>, opens: Time, shape: Shape) -> Vec<usize> {
    let long_lived = !shape.churn || rng.random_bool(LONG_LIVED);
    let mut opens = opens;
    let mut chain = Vec::new();
    loop {
        let number = flows.len();
        chain.push(number);
        let life = Span::from_secs_f64(exponential(rng) * LIFETIME);
        let next = opens + life;
        let ends = !long_lived && next < Time::ZERO + shape.end;
        flows.push(Flow {
            id: flow_id(rng, number),
            opens,
            closes: ends.then(|| next + CLOSING),
        });
        if !ends {
            return chain;
        }
        opens = next;
    }
}

/// Position of a flow in its plan.
pub(crate) fn flow_number(id: &FlowId) -> usize {
    let address = u32::from(*id.caller.ip()) - CALLERS;
    address as usize * FLOWS_PER_ADDRESS + usize::from(id.caller.port() - FIRST_PORT)
}

fn flow_id(rng: &mut Pcg64, number: usize) -> FlowId {
    let address = Ipv4Addr::from(CALLERS + (number / FLOWS_PER_ADDRESS) as u32);
    let port = FIRST_PORT + (number % FLOWS_PER_ADDRESS) as u16;
    FlowId {
        caller: SocketAddrV4::new(address, port),
        service: SERVICE,
        nonce: rng.random(),
    }
}

fn draw_kind(
    site: &Deployment,
    shape: Shape,
    kind: usize,
    rng: &mut Pcg64,
    (places, flows): (&[Vec<usize>], &[Flow]),
    out: &mut Vec<Arrival>,
) {
    let work = site.mix[kind];
    let total: f64 = site.mix.iter().map(|work| work.share).sum();
    let mut at = Time::ZERO;
    loop {
        let rate = site.rate(load_at(shape, at)) * work.share / total;
        at = at + Span::from_secs_f64(exponential(rng) / rate);
        if at >= Time::ZERO + shape.end {
            return;
        }
        let mut factor = rng.random_range(0.5..1.5);
        if !work.long && rng.random_bool(site.stragglers) {
            factor *= site.straggle;
        }
        let place = &places[rng.random_range(0..places.len())];
        let open = |number: &&usize| flows[**number].opens + OPENING <= at;
        if let Some(flow) = place.iter().rev().find(open) {
            out.push(Arrival {
                at,
                flow: *flow,
                kind,
                work: work.time.scale(factor),
            });
        }
    }
}

fn load_at(shape: Shape, at: Time) -> f64 {
    let since = at - Time::ZERO;
    match shape.rush {
        Some((from, until, load)) if since >= from && since < until => load,
        _ => shape.load,
    }
}

fn exponential(rng: &mut Pcg64) -> f64 {
    -rng.random::<f64>().max(f64::MIN_POSITIVE).ln()
}

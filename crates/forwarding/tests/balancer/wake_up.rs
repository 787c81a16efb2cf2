use std::collections::BTreeSet;

use assert_matches::assert_matches;
use usher_forwarding::{
    BalancerForwarder, Candidates, FlowKey, Hint, HostDirectory, RejectReason, Report, RoutingView,
    SettleWatch, Verdict, WakeUp,
};
use usher_types::{Span, Time};

use crate::fixture::{SERVICE, at, configuration, flow, node, packet_header, report};

// A balancer and ten hosts that have all started together.
struct Start {
    directory: HostDirectory,
    forwarder: BalancerForwarder,
    view: RoutingView,
    watch: SettleWatch,
}

impl Start {
    fn new() -> Self {
        let directory = HostDirectory::new("kolkata".parse().unwrap(), Time::ZERO)
            .expecting("kolkata:bengal".parse().unwrap());
        let mut start = Self {
            view: directory.view(configuration(1, SERVICE), &RoutingView::default()),
            directory,
            forwarder: BalancerForwarder::new(node(0)),
            watch: SettleWatch::default(),
        };
        start.report(0);
        start
    }

    fn report(&mut self, millis: u64) {
        self.report_with(millis, true);
    }

    fn report_with(&mut self, millis: u64, complete: bool) {
        for last in 1..=10 {
            let report = Report {
                complete,
                uptime: Span::from_millis(millis),
                ..report(millis as u32 + 1, SERVICE)
            };
            self.directory
                .on_direct_report(at(millis), node(last), &report);
        }
        self.view = self.directory.view(configuration(1, SERVICE), &self.view);
    }

    // Searches a flow at all hosts, which hold none.
    fn search(&mut self, millis: u64, port: u16) -> Verdict {
        let packet = packet_header(port, false);
        let mut verdict = self.forwarder.on_packet(at(millis), &packet, &self.view);
        let mut sent = Vec::new();
        loop {
            if let Verdict::Send { forward_header, .. } = verdict {
                sent.push(forward_header.candidates);
                while let Some(copy) = self.forwarder.further(&packet, &self.view) {
                    sent.push(chain(&copy));
                }
            }
            let Some(visited) = sent.pop() else {
                return verdict;
            };
            verdict = self
                .forwarder
                .on_returned(at(millis), &packet, &visited, &self.view);
        }
    }

    // The flows that one wake-up resets, and the flows that it leaves to a further one.
    fn wake_up(&mut self, millis: u64, wake_up: WakeUp) -> (Vec<FlowKey>, Option<WakeUp>) {
        let (resets, next) = self.forwarder.on_wake_up(at(millis), wake_up, &self.view);
        let flows = resets.into_iter().map(|reset| {
            assert_matches!(
                reset,
                Verdict::Reset { flow, reason: RejectReason::HostGone, .. } => flow
            )
        });
        (flows.collect(), next)
    }
}

// The agents that a packet visits.
fn chain(verdict: &Verdict) -> Candidates {
    assert_matches!(verdict, Verdict::Send { forward_header, .. } => forward_header.candidates)
}

/// Guards against packets that wait while a balancer resets all lost flows, and a flow that is passed over
/// because of the bound or reset twice.
#[test]
fn one_wake_up_judges_a_bounded_number_of_flows() {
    let mut start = Start::new();
    for port in 1..=200 {
        let verdict = start.search(100, port);
        assert_eq!(verdict, Verdict::Drop(RejectReason::Unsettled));
    }
    start.report(1_500);
    let mut reset = BTreeSet::new();
    let mut wake_up = Some(WakeUp::ALL);
    let mut rounds = Vec::new();
    while let Some(next) = wake_up {
        let (flows, left) = start.wake_up(1_500, next);
        rounds.push(flows.len());
        reset.extend(flows.iter().map(|flow| flow.caller.port()));
        wake_up = left;
    }
    assert_eq!(rounds, [64, 64, 64, 8]);
    assert_eq!(reset.len(), 200);
    assert_eq!(start.wake_up(1_600, WakeUp::ALL), (Vec::new(), None));
}

/// Guards against a list of flows that grows without limit, or has no room for a usual start.
#[test]
fn a_bounded_number_of_flows_waits_for_a_wake_up() {
    let mut start = Start::new();
    for port in 1..=5_000 {
        start.search(100, port);
    }
    start.report(1_500);
    let (mut reset, mut wake_up) = (0, Some(WakeUp::ALL));
    while let Some(next) = wake_up {
        let (flows, left) = start.wake_up(1_500, next);
        reset += flows.len();
        wake_up = left;
    }
    assert_eq!(reset, 4_096);
}

/// Guards against a reset by a wake-up that anyone may have sent, or that comes too early or too late.
#[test]
fn a_wake_up_changes_nothing_while_the_hosts_are_not_settled() {
    let mut start = Start::new();
    start.search(100, 1);
    for millis in [700, 1_400] {
        start.report(millis);
        assert_eq!(start.wake_up(millis, WakeUp::ALL), (Vec::new(), None));
    }
    // The last report is too old.
    assert_eq!(start.wake_up(2_000, WakeUp::ALL), (Vec::new(), None));
    start.report(2_100);
    assert_eq!(start.wake_up(2_100, WakeUp::ALL), (vec![flow(1)], None));
}

/// Guards against a flow that is forgotten because its search ended before the evidence was there.
#[test]
fn a_flow_that_was_searched_before_the_evidence_is_reset() {
    let mut start = Start::new();
    start.report_with(50, false);
    start.search(100, 1);
    start.report_with(1_500, false);
    assert_eq!(start.wake_up(1_500, WakeUp::ALL), (Vec::new(), None));
    start.report(1_600);
    assert_eq!(start.wake_up(1_600, WakeUp::ALL), (vec![flow(1)], None));
}

/// Guards against the reset of a flow whose host was found after its search, and of one whose host may not
/// be known yet.
#[test]
fn a_wake_up_spares_flows_that_are_found_or_searched_just_now() {
    let mut start = Start::new();
    start.search(1_000, 1);
    start.search(1_000, 2);
    start.search(1_300, 3);
    let hint = Hint {
        flow: flow(1),
        node: node(4),
    };
    start.forwarder.on_hint(at(1_400), &hint);
    start.report(1_500);
    assert_eq!(start.wake_up(1_500, WakeUp::ALL), (vec![flow(2)], None));
    start.report(1_700);
    assert_eq!(start.wake_up(1_700, WakeUp::ALL), (Vec::new(), None));
    start.report(1_800);
    assert_eq!(start.wake_up(1_800, WakeUp::ALL), (vec![flow(3)], None));
}

/// Guards against a flow that is reset although an agent that joined has not been visited.
#[test]
fn a_wake_up_spares_flows_with_agents_left_to_visit() {
    let mut start = Start::new();
    start.search(100, 1);
    let joined = Report {
        complete: true,
        ..report(1, SERVICE)
    };
    start.directory.on_direct_report(at(500), node(20), &joined);
    start.report(1_500);
    let joined = Report {
        complete: true,
        ..report(2, SERVICE)
    };
    start
        .directory
        .on_direct_report(at(1_500), node(20), &joined);
    start.report(1_501);
    assert_eq!(start.wake_up(1_501, WakeUp::ALL), (Vec::new(), None));
}

/// Guards against the reset of a new flow from a port that a lost flow used before.
#[test]
fn a_later_flow_of_the_same_port_is_searched_from_the_start() {
    let mut start = Start::new();
    start.search(100, 1);
    start.report(1_600);
    let mut later = packet_header(1, false);
    later.sequence = 1_000_000_000;
    let verdict = start.forwarder.on_packet(at(1_600), &later, &start.view);
    assert_matches!(verdict, Verdict::Send { .. });
    assert_eq!(start.wake_up(1_600, WakeUp::ALL), (Vec::new(), None));
}

/// Guards against a caller whose copies are passed over although its search has ended.
#[test]
fn a_copy_after_the_end_of_a_search_is_answered() {
    let mut start = Start::new();
    start.report(2_500);
    let mut lists = Vec::new();
    for (millis, sequence) in [(2_000, 1), (2_400, 2)] {
        let mut packet = packet_header(1, false);
        packet.sequence = sequence;
        let verdict = start.forwarder.on_packet(at(millis), &packet, &start.view);
        lists = vec![chain(&verdict)];
        while let Some(copy) = start.forwarder.further(&packet, &start.view) {
            lists.push(chain(&copy));
        }
    }
    let mut packet = packet_header(1, false);
    packet.sequence = 2;
    let last = lists.len() - 1;
    for (index, list) in lists.iter().enumerate() {
        let verdict = start
            .forwarder
            .on_returned(at(2_450), &packet, list, &start.view);
        let reason = if index == last {
            RejectReason::Unsettled
        } else {
            RejectReason::Searching
        };
        assert_eq!(verdict, Verdict::Drop(reason));
    }
    let verdict = start.forwarder.on_packet(at(2_550), &packet, &start.view);
    assert_matches!(verdict, Verdict::Reset { .. });
}

/// Guards against a control thread that wakes the traffic thread all the time, not at all, or not for
/// searches that had just begun.
#[test]
fn the_traffic_thread_is_woken_when_the_hosts_settle_and_once_more() {
    let mut start = Start::new();
    let mut woken = Vec::new();
    for millis in (0..=6_000).step_by(100) {
        // The hosts are silent for a while.
        if !(3_000..4_000).contains(&millis) {
            start.report(millis);
        }
        if start.watch.observe(at(millis), &start.view).is_some() {
            woken.push(millis);
        }
    }
    assert_eq!(woken, [1_500, 2_000, 4_000, 4_500]);
}

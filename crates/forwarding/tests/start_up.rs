//! When a balancer that has started may take traffic.

use usher_forwarding::StartUp;
use usher_types::{Span, Time};

fn at(millis: u64) -> Time {
    Time::ZERO + Span::from_millis(millis)
}

/// Guards against traffic for a balancer that does not know the hosts of open flows yet.
#[test]
fn a_starting_balancer_is_complete_once_it_has_taken_over_the_hosts() {
    let mut start_up = StartUp::new(at(0));
    assert!(!start_up.is_complete(at(1_000)));
    start_up.finish();
    assert!(start_up.is_complete(at(1_000)));
}

/// Guards against a fleet that never takes traffic after all balancers have started at once.
#[test]
fn a_balancer_without_others_is_complete_after_some_time() {
    let start_up = StartUp::new(at(0));
    assert!(!start_up.is_complete(at(1_400)));
    assert!(start_up.is_complete(at(1_500)));
}

/// Guards against traffic for a balancer that has read an older configuration from a restored store.
#[test]
fn a_balancer_that_is_outdated_fetches_the_configuration_first() {
    let mut start_up = StartUp::new(at(0));
    start_up.finish();
    assert!(start_up.may_serve(at(100), false));
    assert!(!start_up.may_serve(at(100), true));
    assert!(!start_up.may_serve(at(2_900), true));
    assert!(start_up.may_serve(at(3_000), true));
}

/// Guards against a balancer that was paused and takes traffic with a configuration that may have been
/// replaced meanwhile, and against one that stays out of service because the store is down.
#[test]
fn a_balancer_that_was_paused_hears_of_the_configuration_first() {
    let mut start_up = StartUp::new(at(0));
    start_up.pause(at(60_000));
    assert!(start_up.is_complete(at(60_000)), "the hosts are known");
    assert!(!start_up.may_serve(at(60_100), false));
    start_up.on_hello(at(60_100));
    assert!(!start_up.may_serve(at(60_100), false), "a queued message");
    start_up.on_hello(at(60_500));
    assert!(start_up.may_serve(at(60_500), false));
    assert!(!start_up.may_serve(at(60_500), true));
    start_up.pause(at(65_000));
    start_up.confirm();
    assert!(start_up.may_serve(at(65_100), false));
    start_up.pause(at(70_000));
    assert!(!start_up.may_serve(at(72_900), false));
    assert!(start_up.may_serve(at(73_000), false));
}

use std::sync::Arc;

use crate::deployment::{BOOKING, Deployment};
use crate::load::{Load, open, read};

const FLOWS: usize = 100;
// Answers awaited before and after each change: two for each flow, so that every flow is used.
const ANSWERS_PER_STEP: u64 = 2 * FLOWS as u64;

// Guards against balancers that keep flow state: losing or adding one must break no flow (P1).
#[test]
fn flows_outlive_a_balancer() {
    let mut deployment = Deployment::start("balancers", 3, 2);
    let caller = Arc::new(deployment.caller());
    let flows = open(&caller, BOOKING, FLOWS);
    let load = Load::start(&caller, flows, read);
    load.await_answers(ANSWERS_PER_STEP);
    deployment.process("entry-1").kill();
    load.await_answers(ANSWERS_PER_STEP);
    deployment.processes.shift_remove("entry-1");
    deployment.add_balancer(4);
    deployment.distribute_to(&[2, 3, 4]);
    load.await_answers(ANSWERS_PER_STEP);
    deployment.distribute_to(&[4]);
    load.await_answers(ANSWERS_PER_STEP);
    let tally = load.stop();
    assert!(tally.is_complete(), "{tally:?}");
    assert_eq!(caller.resets(), 0);
}

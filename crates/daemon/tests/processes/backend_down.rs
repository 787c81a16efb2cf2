use std::sync::Arc;

use crate::deployment::{ANSWER_LIMIT, BOOKING, Deployment, await_until};
use crate::load::{Load, once, open, read};

const FLOWS: usize = 30;
const ANSWERS_PER_STEP: u64 = 300;
const HOST: &str = "booking-desk-2";

// Guards against an agent that keeps requests for a backend server that it cannot reach.
#[test]
fn requests_leave_a_host_without_its_backend_server() {
    let deployment = Deployment::start("backend-down", 1, 3);
    let caller = Arc::new(deployment.caller());
    let flows = open(&caller, BOOKING, FLOWS);
    deployment.stop_backend(2);
    await_until("an agent that offers no slot", ANSWER_LIMIT, || {
        let status = deployment.call(HOST, "status");
        status.is_some_and(|status| status["wait"] == "3600s")
    });
    let reads = Load::start(&caller, flows.clone(), read);
    let bookings = Load::start(&caller, flows, once);
    reads.await_answers(ANSWERS_PER_STEP);
    bookings.await_answers(ANSWERS_PER_STEP);
    for tally in [reads.stop(), bookings.stop()] {
        assert!(tally.is_complete(), "{tally:?}");
    }
    assert_eq!(caller.resets(), 0);
}

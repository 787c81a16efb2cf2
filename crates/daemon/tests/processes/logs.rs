use crate::deployment::{Deployment, START_LIMIT, await_until};

// Guards against events below the level of a warning that no log shows.
#[test]
fn log_has_the_events_of_the_configured_level() {
    let mut deployment = Deployment::new("logs");
    deployment.add_balancer(1);
    for number in ["MU-E1001", "MU-E1101", "MU-E1201"] {
        await_until(number, START_LIMIT, || {
            deployment.log("entry-1").contains(number)
        });
    }
}

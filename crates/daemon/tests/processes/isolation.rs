use std::net::UdpSocket;
use std::sync::Arc;

use usher_standins::Request;
use usher_types::{AgentMessage, Message};
use usher_types::{
    Attempt, AttemptBudget, Claim, Generation, HostId, Incarnation, Offer, Payload, Priority,
    RequestId, Span, Time,
};
use usher_wire::encode_message;

use crate::deployment::{ANSWER_LIMIT, BOOKING, Deployment, MAPS, await_until, host_name};
use crate::load::{Load, new_key, open, read};

const FLOWS: usize = 40;
// Datagrams sent for each message.
const COPIES: usize = 20;

// An offer and a claim for the booking service.
fn booking_messages(deployment: &Deployment, reply: std::net::SocketAddrV4) -> Vec<AgentMessage> {
    let (key, method) = (new_key(), "schedule".to_owned());
    let flow = "10.9.0.1:4000>192.0.2.10:7000#7".parse().unwrap();
    let message = usher_types::MessageId::new(1);
    let offer = Offer {
        id: RequestId { flow, message },
        key,
        once: false,
        method,
        left: Span::from_secs(5),
        attempt: Attempt::new(1),
        age: Span::ZERO,
        budget: AttemptBudget::new(3),
        priority: Priority::new(100),
        body: Payload::from(b"{}".as_slice()),
        wait: Span::from_secs(4),
        reply,
    };
    let holder: HostId = host_name(BOOKING, 2).parse().unwrap();
    let claim = Claim {
        key,
        attempt: Attempt::new(1),
        age: Span::ZERO,
        holder,
        incarnation: Incarnation::new(1),
        reply,
        roster: deployment.revision("entry-1").unwrap(),
        sent: Time::from_micros(1),
    };
    vec![AgentMessage::Offer(offer), AgentMessage::Claim(claim)]
}

// Guards against an agent that handles messages for another service, whose host had the same
// address before (P2).
#[test]
fn reused_address_serves_no_other_service() {
    let mut deployment = Deployment::start("isolation", 2, 3);
    deployment.add_host(MAPS, 1);
    deployment.await_members(MAPS, 1);
    let caller = Arc::new(deployment.caller());
    let flows = open(&caller, BOOKING, FLOWS);
    let load = Load::start(&caller, flows, read);
    load.await_answers(FLOWS as u64);
    let reused = deployment.agent_address(BOOKING, 2);
    deployment.process("booking-desk-2").kill();
    deployment.process("map-office-1").kill();
    deployment.add_agent_at(MAPS, 1, reused);
    await_until("the agent at the reused address", ANSWER_LIMIT, || {
        let status = deployment.call("map-office-1", "status");
        status.is_some_and(|status| status["flows"].is_u64())
    });
    // The load uses flows of the killed host, and new flows of its buckets go to its address too.
    let others = deployment.caller();
    let opened = (0..FLOWS)
        .filter_map(|_| {
            let service = crate::deployment::service_address(BOOKING);
            others.open(service, ANSWER_LIMIT)
        })
        .count();
    assert_eq!(opened, FLOWS, "flows of the remaining hosts");
    let socket = UdpSocket::bind((deployment.ip, 0)).unwrap();
    let std::net::SocketAddr::V4(reply) = socket.local_addr().unwrap() else {
        unreachable!("bound to an IPv4 address")
    };
    for message in booking_messages(&deployment, reply) {
        for _ in 0..COPIES {
            let datagram = Message::Agent {
                service: BOOKING.parse().unwrap(),
                generation: Generation::default(),
                message: message.clone(),
            };
            socket
                .send_to(&encode_message(&datagram).unwrap(), reused)
                .unwrap();
        }
    }
    let dropped = |group: &str| {
        let status = deployment.call("map-office-1", "status").unwrap();
        status["counters"][format!("{group}.wrong_service")].as_u64()
    };
    await_until("dropped messages", ANSWER_LIMIT, || {
        dropped("agent").is_some_and(|count| count >= 2 * COPIES as u64)
    });
    assert!(
        dropped("flows").is_some_and(|count| count > 0),
        "no relay was dropped"
    );
    assert_eq!(deployment.backends["map-office-1"].total(), 0);
    let map = Request::new("map", new_key());
    let flow = open(&caller, MAPS, 1)[0];
    let answer = caller.send(flow, &map).wait(ANSWER_LIMIT);
    assert!(
        matches!(answer, Some(usher_types::Outcome::Answered(_))),
        "{answer:?}"
    );
    drop(load);
}

//! Tests that messages arrive complete and once, within the limits.

use assert_matches::assert_matches;
use proptest::prelude::*;
use usher_flows::{
    FLOW_BYTES, FlowError, Inbox, MAX_MESSAGE_BYTES, Outbox, Receipt, SEGMENT_BYTES,
};
use usher_types::{MessageId, Time};

// Guards against growth of an idle flow; a fleet holds 330 million of them.
#[test]
fn an_idle_flow_fits_200_bytes() {
    // Heap block of the completed ranges, and the allocator's overhead.
    const DONE_BLOCK_BYTES: usize = 32 + 16;
    assert_eq!(FLOW_BYTES, 112);
    const { assert!(FLOW_BYTES + DONE_BLOCK_BYTES <= 200) };
}

// Guards against endless retransmission of a message that no peer accepts.
#[test]
fn a_message_beyond_the_limit_is_refused() {
    let mut outbox = Outbox::default();
    let bytes = vec![0; MAX_MESSAGE_BYTES + 1];
    assert_matches!(
        outbox.push(Time::ZERO, MessageId::new(1), bytes),
        Err(FlowError::TooLong(_))
    );
}

// Guards against a caller that starts messages and never completes them.
#[test]
fn incomplete_messages_are_bounded() {
    let mut inbox = Inbox::default();
    let mut receipts = Vec::new();
    for number in 0..9 {
        let mut outbox = Outbox::default();
        let bytes = vec![1; SEGMENT_BYTES + 1];
        let segments = outbox
            .push(Time::ZERO, MessageId::new(number), bytes)
            .unwrap();
        receipts.push(inbox.accept(segments[0].clone()));
    }
    assert!(
        receipts[..8]
            .iter()
            .all(|receipt| *receipt == Receipt::Stored)
    );
    assert_eq!(receipts[8], Receipt::Full);
}

// Guards against delivery of a corrupted message.
#[test]
fn a_checksum_mismatch_gives_no_message() {
    let mut outbox = Outbox::default();
    let mut segments = outbox
        .push(Time::ZERO, MessageId::new(1), vec![7; 10])
        .unwrap();
    segments[0].checksum ^= 1;
    assert_eq!(
        Inbox::default().accept(segments.remove(0)),
        Receipt::Malformed
    );
}

proptest! {
    // Guards against lost, duplicate or mixed-up messages when segments and acknowledgements are
    // lost, duplicated and reordered.
    #[test]
    fn every_message_arrives_once_and_whole(
        sizes in prop::collection::vec(0_usize..100_000, 1..6),
        faults in prop::collection::vec(0_u8..4, 1..64),
    ) {
        let (mut outbox, mut inbox) = (Outbox::default(), Inbox::default());
        let messages: Vec<Vec<u8>> = sizes.iter().enumerate().map(|(n, size)| vec![n as u8; *size]).collect();
        let mut wire = Vec::new();
        for (number, bytes) in messages.iter().enumerate() {
            wire.extend(outbox.push(Time::ZERO, MessageId::new(number as u32), bytes.clone()).unwrap());
        }
        let mut received = vec![None; messages.len()];
        let mut faults = faults.into_iter().cycle();
        let mut now = Time::ZERO;
        for _ in 0..10_000 {
            let Some(segment) = wire.pop() else {
                let Some(due) = outbox.next_timer() else { break };
                now = due;
                wire = outbox.tick(now);
                // Shifts the faults, or the same segments would be lost on every retransmission.
                faults.next();
                continue;
            };
            // 1 duplicates a segment; until 60 s, 2 loses it and 3 loses its acknowledgement.
            let fault = faults.next().unwrap();
            let (message, index) = (segment.message, segment.index);
            if fault == 1 {
                wire.insert(0, segment.clone());
            }
            if fault == 2 && now < Time::from_micros(60_000_000) {
                continue;
            }
            let receipt = inbox.accept(segment);
            let acknowledged = receipt.is_acknowledged();
            if let Receipt::Complete(bytes) = receipt {
                prop_assert!(received[message.get() as usize].replace(bytes).is_none());
            }
            if acknowledged && (fault != 3 || now >= Time::from_micros(60_000_000)) {
                wire.extend(outbox.acknowledge(now, message, index));
            }
        }
        prop_assert!(outbox.is_empty());
        prop_assert_eq!(received, messages.into_iter().map(Some).collect::<Vec<_>>());
    }
}

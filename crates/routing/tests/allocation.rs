//! Memory used by the tables of a whole fleet, and allocations per packet.
#![expect(
    unsafe_code,
    reason = "a counting allocator implements an unsafe trait"
)]

mod common;

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use common::{agent, flow, roster, table};
use usher_routing::{Forward, HintTable, Router};
use usher_types::{Body, Packet, Sequence};

static LIVE_BYTES: AtomicUsize = AtomicUsize::new(0);

thread_local! {
    // Counted per thread, because the test harness allocates on its own thread at any time.
    static ALLOCATIONS: Cell<usize> = const { Cell::new(0) };
}

struct CountingAllocator;

// SAFETY: every call is forwarded unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        ALLOCATIONS.set(ALLOCATIONS.get() + 1);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        LIVE_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const SERVICES: usize = 35_000;
const MAX_BYTES: usize = 64 << 20;

// Both checks are in one test, because they share the counters.
/// Guards against tables that do not fit beside the other control state in 128 MB, and against
/// allocations on the packet path beyond the relay's route.
#[test]
fn a_fleet_of_tables_is_small_and_forwarding_allocates_only_the_route() {
    let before = LIVE_BYTES.load(Ordering::Relaxed);
    // 34,996 services of 2 or 3 hosts and 4 of 300 make 97,000 hosts; three rosters each.
    let mut hosts = 0;
    let tables = (0..SERVICES).map(|service| {
        let size = match service {
            0..4 => 300,
            _ => 2 + usize::from(service % 4 > 0),
        };
        let rosters: Vec<_> = (1..=3)
            .rev()
            .map(|v| roster(v, hosts..hosts + size))
            .collect();
        hosts += size;
        (agent(service), Arc::new(table(4_096, &rosters)))
    });
    let router = Router::new(tables);
    let used = LIVE_BYTES.load(Ordering::Relaxed) - before;
    println!(
        "{} services, {hosts} hosts: {} KiB",
        router.len(),
        used >> 10
    );
    assert!(hosts >= 97_000 && used < MAX_BYTES, "{used} bytes");

    let mut hints = HintTable::new(1_000);
    let balancer = agent(99_999);
    for service in [0, SERVICES - 1] {
        let address = agent(service).to_string();
        let flow = flow(&address, 1);
        let packet = Packet {
            flow,
            sequence: Sequence::new(1),
            body: Body::Open,
        };
        let allocations = ALLOCATIONS.get();
        let forward = router.forward(packet, &mut hints, balancer);
        assert_eq!(
            ALLOCATIONS.get() - allocations,
            1,
            "forwarding allocates more than the vector of the route"
        );
        assert!(matches!(forward, Forward::Send { .. }));
    }
}

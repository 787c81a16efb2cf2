use usher_types::{DataCentre, Time};

use super::Fleet;
use crate::{CpuCapacity, NodeId};

// A balancer can be on standby if another one of its data centre has more than this many times its
// capacity. With an even share of the traffic it would be the first to drop packets.
const STANDBY_RATIO: u32 = 4;

impl Fleet {
    /// Whether a balancer stays out of the rotation in favour of stronger ones.
    ///
    /// The platform spreads flows evenly over the balancers in rotation. If fewer than half of the
    /// balancers of a data centre are in rotation, it uses all of them, so half of them stay.
    pub fn is_standby(
        &self,
        now: Time,
        own: NodeId,
        capacity: CpuCapacity,
        centre: &DataCentre,
    ) -> bool {
        let present = self.present(now);
        let local = self
            .members
            .iter()
            .filter(|(_, member)| member.centre.as_ref() == Some(centre));
        let mut known = 1;
        let mut stronger = 0;
        let mut strongest = capacity;
        for (node, member) in local {
            known += 1;
            if !present.contains(node) || member.leaving {
                continue;
            }
            strongest = strongest.max(member.capacity);
            let before = (member.capacity, own) > (capacity, *node);
            stronger += u32::from(before);
        }
        let needed = u32::div_ceil(known, 2);
        let weak = capacity.millicores() * STANDBY_RATIO < strongest.millicores();
        weak && stronger >= needed
    }
}

use usher_types::Time;

use super::Fleet;
use crate::NodeId;

impl Fleet {
    /// Number of heard balancers that come before this one.
    ///
    /// The first ones in this order are of several data centres, where there are.
    ///
    /// ```
    /// use usher_forwarding::Fleet;
    /// use usher_types::Time;
    /// assert_eq!(Fleet::default().rank(Time::ZERO, "10.1.0.10".parse()?), 0);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn rank(&self, now: Time, own: NodeId) -> usize {
        let heard = self.members.iter();
        let heard = heard.filter(|(_, member)| member.is_present(now) && !member.leaving);
        heard
            .filter(|(node, _)| node.scattered() < own.scattered())
            .count()
    }
}

use rand::Rng;
use rand_pcg::Pcg64;
use usher_types::Span;

/// Loss, duplication and delay of packets in both directions; none by default.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PathFaults {
    /// Share of packets lost, from 0 to 1.
    pub loss: f64,
    /// Share of packets delivered twice, from 0 to 1.
    pub duplicates: f64,
    /// Longest random delay of a packet, which may reorder packets.
    pub delay: Span,
}

impl PathFaults {
    /// Draws the copies of a packet that are delivered; returns the delay of each.
    pub(crate) fn draw_copies(&self, rng: &mut Pcg64) -> Vec<Span> {
        let count = if rng.random_bool(self.loss) {
            0
        } else {
            1 + usize::from(rng.random_bool(self.duplicates))
        };
        (0..count)
            .map(|_| self.delay.scale(rng.random::<f64>()))
            .collect()
    }
}

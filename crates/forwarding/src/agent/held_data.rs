use crate::PacketHeader;

/// Packets of an open flow that wait, the first packet of a request and those behind it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HeldData {
    /// Number of packets.
    pub(crate) packets: usize,
    /// Position behind the last byte.
    pub(crate) end: u32,
    /// The last packet ends the caller's data.
    pub(crate) finishing: bool,
}

impl HeldData {
    pub(crate) fn new(packet_header: &PacketHeader) -> Self {
        Self {
            packets: 1,
            end: packet_header.end(),
            finishing: packet_header.flags.finishing,
        }
    }

    /// The data with one more packet; `None` if the packet is a copy of a held one.
    pub(crate) fn with(self, packet_header: &PacketHeader) -> Option<Self> {
        let new_data = packet_header.data > 0 && packet_header.ends_after(self.end);
        let finish = packet_header.flags.finishing && !self.finishing;
        (new_data || finish).then_some(Self {
            packets: self.packets + 1,
            end: if new_data {
                packet_header.end()
            } else {
                self.end
            },
            finishing: self.finishing || finish,
        })
    }
}

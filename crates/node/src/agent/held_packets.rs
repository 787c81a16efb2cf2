use usher_forwarding::FlowKey;

/// Packets that wait for a slot, in the order of arrival.
///
/// The forwarder bounds their number.
#[derive(Debug, Default)]
pub(crate) struct HeldPackets {
    packets: Vec<(FlowKey, Box<[u8]>)>,
}

impl HeldPackets {
    /// Stores a packet behind the earlier ones of its flow.
    pub(crate) fn push(&mut self, flow: FlowKey, packet: &[u8]) {
        self.packets.push((flow, packet.into()));
    }

    /// Removes and returns the packets of a flow in the order of arrival.
    pub(crate) fn take(&mut self, flow: &FlowKey) -> impl Iterator<Item = Box<[u8]>> {
        self.packets
            .extract_if(.., move |(held, _)| held == flow)
            .map(|(_, packet)| packet)
    }
}

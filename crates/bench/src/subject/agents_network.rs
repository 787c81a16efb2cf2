//! The simulated network, the balancers and the distribution of rosters.

use std::sync::Arc;

use rand::Rng;
use usher_agent::{Event, View};
use usher_routing::{Forward, Router, Table};
use usher_types::{Generation, Message, Packet, PastRoster, Profile, Roster, Span, Time, Version};

use super::Agents;
use super::agents::Step;
use super::agents_hosts::next_roster;
use super::node::{address_index, balancer_address, service};
use crate::model::SERVICE;

// Longest delay before a process adopts a new roster.
const ADOPTION_SPREAD: Span = Span::from_secs(1);

impl Agents<'_> {
    /// Routes a packet at a balancer and sends it to the chosen host.
    pub(super) fn forward(&mut self, now: Time, balancer: usize, packet: Packet) {
        let address = balancer_address(balancer);
        let forward = self.routers[balancer].forward(packet, &mut self.hints[balancer], address);
        if let Forward::Send { to, relay } = forward {
            let node = address_index(to);
            let step = Step::Message(node, address, Message::Relay(relay));
            self.events.add(now + self.site.centre_latency, step);
        }
    }

    /// Sends a packet to a random balancer, as the network sprays packets.
    pub(super) fn spray(&mut self, now: Time, packet: Packet) {
        let balancer = self.rng.random_range(0..self.hints.len());
        let step = Step::ToBalancer(balancer, packet);
        self.events.add(now + self.site.caller_latency, step);
    }

    /// Lets all processes adopt a new roster at once.
    pub(super) fn adopt(&mut self, now: Time, profile: &Profile) {
        self.roster = Arc::new(next_roster(&self.roster, &self.nodes));
        let roster = Arc::clone(&self.roster);
        for balancer in 0..self.routers.len() {
            self.update_table(balancer, &roster);
        }
        for node in 0..self.nodes.len() {
            self.handle_view(now, node, Arc::clone(&roster), profile);
        }
    }

    /// Publishes a new roster, which each process adopts after a random delay.
    pub(super) fn publish(&mut self, now: Time) {
        self.roster = Arc::new(next_roster(&self.roster, &self.nodes));
        for node in 0..self.nodes.len() {
            let step = Step::View(node, Arc::clone(&self.roster));
            let at = now + self.delay();
            self.events.add(at, step);
        }
        for balancer in 0..self.routers.len() {
            let step = Step::Table(balancer, Arc::clone(&self.roster));
            let at = now + self.delay();
            self.events.add(at, step);
        }
    }

    fn delay(&mut self) -> Span {
        ADOPTION_SPREAD.scale(self.rng.random())
    }

    /// Lets an agent adopt a roster that is newer than its own.
    ///
    /// An agent without a roster adopts one only if it is listed there.
    pub(super) fn update_view(&mut self, now: Time, node: usize, roster: Arc<Roster>) {
        let known = self.nodes[node].agent.view();
        let is_old = known.is_some_and(|view| view.roster.version >= roster.version);
        let own = roster.members.get(&self.nodes[node].host);
        let is_listed = own.is_some_and(|m| m.incarnation == self.nodes[node].incarnation);
        if !is_old && (is_listed || known.is_some()) {
            let profile = self.profile();
            self.handle_view(now, node, roster, &profile);
        }
    }

    fn handle_view(&mut self, now: Time, node: usize, roster: Arc<Roster>, profile: &Profile) {
        let view = View {
            generation: Generation::new(1),
            profile: Arc::new(profile.clone()),
            roster,
            revision: Version::new(1),
            created: self.nodes[node].incarnation.get() == 1,
        };
        self.handle_event(now, node, Event::View(view));
    }

    /// Lets a balancer adopt a roster, unless it knows it or a newer one.
    pub(super) fn update_table(&mut self, balancer: usize, roster: &Roster) {
        let address = SERVICE;
        let known = self.routers[balancer]
            .table(address)
            .map(|table| table.version());
        if known.is_some_and(|version| version >= roster.version) {
            return;
        }
        let earlier: Vec<Roster> = roster.earlier.iter().map(PastRoster::to_roster).collect();
        let rosters = std::iter::once(roster).chain(&earlier);
        let buckets = Profile::default().buckets;
        let table = Table::new(service(), Generation::new(1), buckets, rosters);
        self.routers[balancer] = Router::new([(address, Arc::new(table))]);
    }
}

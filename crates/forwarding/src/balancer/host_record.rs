use std::sync::Arc;

use usher_types::{DataCentre, Sequence, Slots, Span, Time};

use super::load_cell::LoadCell;
use super::pace::Pace;
use crate::{HostState, Report, ServiceKey};

/// What a balancer knows of one host.
#[derive(Debug, Clone)]
pub(crate) struct HostRecord {
    pub(crate) epoch: u64,
    /// The process before; its late reports are of no use.
    former: u64,
    pub(crate) sequence: Sequence,
    pub(crate) centre: DataCentre,
    pub(crate) service: ServiceKey,
    pub(crate) state: HostState,
    pub(crate) born: u64,
    pub(crate) slots: Slots,
    pub(crate) warm_at: Time,
    pub(crate) first_heard: Time,
    pub(crate) heard: Time,
    pub(crate) pace: Pace,
    pub(crate) cell: Arc<LoadCell>,
}

impl HostRecord {
    pub(crate) fn new(now: Time, report: &Report, pace: Pace) -> Self {
        let cell = Arc::new(LoadCell::default());
        cell.report(now, report.load);
        Self {
            epoch: report.epoch,
            former: report.epoch,
            sequence: report.sequence,
            centre: report.centre.clone(),
            service: report.service,
            state: report.state,
            born: report.born,
            slots: report.slots,
            warm_at: now + report.warmup,
            first_heard: now,
            heard: now,
            pace,
            cell,
        }
    }

    /// Whether a report is older than what is known.
    pub(crate) fn overtakes(&self, report: &Report) -> bool {
        if self.epoch == report.epoch {
            return self.sequence >= report.sequence;
        }
        self.former == report.epoch
    }

    /// Takes a newer report; `true` if anything but load has changed.
    pub(crate) fn update(&mut self, now: Time, report: &Report, pace: Pace) -> bool {
        let before = (self.service, self.state, self.born, self.slots, self.pace);
        let after = (
            report.service,
            report.state,
            report.born,
            report.slots,
            pace,
        );
        let warm_at = now + report.warmup;
        let warmed = report.warmup == Span::ZERO && self.warm_at > now;
        if self.epoch != report.epoch {
            self.former = self.epoch;
            self.epoch = report.epoch;
        }
        self.sequence = report.sequence;
        self.centre = report.centre.clone();
        (self.service, self.state, self.born, self.slots, self.pace) = after;
        self.warm_at = warm_at;
        self.heard = now;
        self.cell.report(now, report.load);
        before != after || warmed
    }
}

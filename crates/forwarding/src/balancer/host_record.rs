use std::sync::Arc;

use usher_outlier::OutcomeCounts;
use usher_types::{DataCentre, Sequence, Slots, Span, Time};

use super::report_rate::ReportRate;
use super::shared_load::SharedLoad;
use crate::{HostState, Report, ServiceKey};

/// What a balancer knows about one host.
#[derive(Debug, Clone)]
pub(crate) struct HostRecord {
    pub(crate) epoch: u64,
    /// Epoch of the previous agent process; its late reports are ignored.
    previous_epoch: u64,
    pub(crate) sequence: Sequence,
    pub(crate) centre: DataCentre,
    pub(crate) service: ServiceKey,
    pub(crate) state: HostState,
    pub(crate) born: u64,
    pub(crate) slots: Slots,
    pub(crate) warm_at: Time,
    pub(crate) first_heard: Time,
    pub(crate) last_heard: Time,
    pub(crate) report_rate: ReportRate,
    pub(crate) outcomes: OutcomeCounts,
    pub(crate) shared_load: Arc<SharedLoad>,
    /// The agent knows all flows of its host.
    pub(crate) complete: bool,
    /// How long the agent had run at the last report.
    uptime: Span,
    /// How long before the balancer the agent started, or an earlier process of it; zero if later.
    pub(crate) head_start: Span,
}

impl HostRecord {
    pub(crate) fn new(now: Time, report: &Report, report_rate: ReportRate) -> Self {
        let shared_load = Arc::new(SharedLoad::default());
        shared_load.report(now, report.load);
        Self {
            epoch: report.epoch,
            previous_epoch: report.epoch,
            sequence: report.sequence,
            centre: report.centre.clone(),
            service: report.service,
            state: report.state,
            born: report.born,
            slots: report.slots,
            warm_at: now + report.warmup,
            first_heard: now,
            last_heard: now,
            report_rate,
            outcomes: report.outcomes,
            shared_load,
            complete: report.complete,
            uptime: report.uptime,
            head_start: Span::ZERO,
        }
    }

    /// Records how long the agent had run when the balancer had run for `running`.
    ///
    /// Reports are delayed on their way, so that the largest of them is the nearest to the truth.
    pub(crate) fn note_uptime(&mut self, uptime: Span, running: Span) {
        self.head_start = self.head_start.max(uptime - running);
    }

    /// The last report, as a balancer that has just started needs it.
    pub(crate) fn report(&self, now: Time) -> Report {
        Report {
            epoch: self.epoch,
            sequence: self.sequence,
            centre: self.centre.clone(),
            service: self.service,
            state: self.state,
            born: self.born,
            slots: self.slots,
            warmup: self.warm_at - now,
            load: self.shared_load.load(),
            outcomes: self.outcomes,
            relayed: false,
            complete: self.complete,
            uptime: self.uptime,
        }
    }

    /// Whether the record is at least as new as a report.
    pub(crate) fn supersedes(&self, report: &Report) -> bool {
        if self.epoch == report.epoch {
            return self.sequence >= report.sequence;
        }
        self.previous_epoch == report.epoch
    }

    /// Applies a newer report; `true` if anything but the load has changed.
    pub(crate) fn update(&mut self, now: Time, report: &Report, report_rate: ReportRate) -> bool {
        let before = (
            self.service,
            self.state,
            self.born,
            self.slots,
            self.report_rate,
            self.complete,
        );
        let after = (
            report.service,
            report.state,
            report.born,
            report.slots,
            report_rate,
            report.complete,
        );
        let warm_at = now + report.warmup;
        let warmed = report.warmup == Span::ZERO && self.warm_at > now;
        if self.epoch != report.epoch {
            self.previous_epoch = self.epoch;
            self.epoch = report.epoch;
        }
        self.uptime = report.uptime;
        self.sequence = report.sequence;
        self.centre = report.centre.clone();
        (
            self.service,
            self.state,
            self.born,
            self.slots,
            self.report_rate,
            self.complete,
        ) = after;
        self.warm_at = warm_at;
        self.last_heard = now;
        self.outcomes = report.outcomes;
        self.shared_load.report(now, report.load);
        before != after || warmed
    }
}

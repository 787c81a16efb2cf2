use std::fmt::Display;
use std::sync::Arc;

use usher_evacuation::{ActiveEvacuations, Change, EvacuationStatus, Evacuations};
use usher_types::{DataCentre, Time};

use crate::metrics::Metrics;
use crate::{Settings, event};

/// The evacuations in force at this process, with their log lines and metrics.
#[derive(Debug)]
pub(crate) struct EvacuationRecord {
    /// Whether the settings call for evacuations.
    enabled: bool,
    active: ActiveEvacuations,
    metrics: Arc<Metrics>,
}

impl EvacuationRecord {
    pub(crate) fn new(settings: &Settings, metrics: Arc<Metrics>) -> Self {
        Self {
            enabled: settings.evacuation.is_some(),
            active: ActiveEvacuations::default(),
            metrics,
        }
    }

    /// Adopts a set if it is newer; returns whether other data centres are evacuated now.
    pub(crate) fn adopt(&mut self, now: Time, offered: &Evacuations, source: &dyn Display) -> bool {
        if !self.enabled {
            return false;
        }
        let change = self.active.adopt(now, offered);
        self.log(&change, source);
        !change.is_empty()
    }

    /// Ends evacuations whose time is over; returns whether there were any.
    pub(crate) fn expire(&mut self, now: Time) -> bool {
        let change = self.active.expire(now);
        self.log(&change, &"restore");
        !change.is_empty()
    }

    /// Whether a data centre takes no new flows.
    pub(crate) fn contains(&self, centre: &DataCentre) -> bool {
        self.active.contains(centre)
    }

    /// The data centres that take no new flows.
    pub(crate) fn centres(&self) -> impl Iterator<Item = DataCentre> {
        self.active
            .iter(Time::ZERO)
            .map(|(centre, _)| centre.clone())
    }

    /// The newest set; `None` until one is known.
    pub(crate) fn latest(&self) -> Option<&Evacuations> {
        self.active.latest()
    }

    /// The evacuations in force as JSON.
    pub(crate) fn status(&self) -> String {
        let status = EvacuationStatus::new(usher_clock::now(), &self.active);
        serde_json::json!(status).to_string()
    }

    /// Sets the gauges of the evacuations.
    pub(crate) fn set_metrics(&self) {
        self.metrics
            .set_evacuated(self.active.iter(usher_clock::now()));
    }

    fn log(&self, change: &Change, source: &dyn Display) {
        let version = self.latest().map(Evacuations::as_of).unwrap_or_default();
        let log = |event: usher_events::Event, centres: &[DataCentre]| {
            for centre in centres {
                event.log(&[
                    ("centre", centre),
                    ("version", &version),
                    ("source", &source),
                ]);
            }
        };
        log(event::EVACUATION_BEGAN, &change.began);
        log(event::EVACUATION_ENDED, &change.ended);
        log(event::EVACUATION_RETAINED, &change.retained);
    }
}

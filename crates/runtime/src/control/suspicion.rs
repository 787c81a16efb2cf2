use usher_types::{HostId, ServiceName};

use crate::event;

/// Logs which hosts of a service became suspected and which respond again.
pub(crate) fn log_suspicion(service: &ServiceName, before: &[HostId], after: &[HostId]) {
    for host in after.iter().filter(|host| !before.contains(host)) {
        event::SUSPECTED.log(&[("service", service), ("host", host)]);
    }
    for host in before.iter().filter(|host| !after.contains(host)) {
        event::RESTORED.log(&[("service", service), ("host", host)]);
    }
}

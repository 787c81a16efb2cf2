use tokio::sync::Notify;

/// What the tasks that call the store tell each other.
#[derive(Debug, Default)]
pub(crate) struct StoreSignals {
    /// The call in flight may never be answered, or is of an earlier era.
    pub(crate) resync: Notify,
    /// The same for the call that waits for evacuations.
    pub(crate) evacuations: Notify,
    /// The store has been restored; what it lost is to be written again.
    pub(crate) restored: Notify,
}

impl StoreSignals {
    /// Ends the calls in flight, so that all readers read again.
    pub(crate) fn resync_all(&self) {
        self.resync.notify_one();
        self.evacuations.notify_one();
    }
}

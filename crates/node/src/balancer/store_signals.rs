use tokio::sync::Notify;

/// What the tasks that call the store tell each other.
#[derive(Debug, Default)]
pub(crate) struct StoreSignals {
    /// The call in flight may never be answered, or is of an earlier era.
    pub(crate) resync: Notify,
    /// The store has been restored; what it lost is to be written again.
    pub(crate) restored: Notify,
}

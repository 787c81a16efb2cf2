use std::net::SocketAddrV4;

use usher_config::{Change, Condition, Kind, Object, ObjectKey, Value, Write, WriteId};
use usher_types::{Span, Version};

use crate::retry_client::RetryClient;
use crate::{Batch, Limits, StoreError, StoredObject};

/// Client for the project's own objects in the platform's store.
///
/// Failed calls are retried within the limits. If the answer to a write is lost, the client reads the
/// object back to determine the outcome.
///
/// ```no_run
/// use usher_config::Kind;
/// use usher_store::{Limits, Store};
/// # async_std::task::block_on(async {
/// let store = Store::new("127.0.0.1:7000".parse().unwrap(), Limits::default());
/// let batch = store.list(Some(Kind::Service), Default::default()).await?;
/// # Ok::<(), usher_store::StoreError>(())
/// # }).unwrap();
/// ```
#[derive(Debug, Clone)]
pub struct Store {
    client: RetryClient,
}

impl Store {
    /// Creates a client of the store at an address; it connects at the first call.
    ///
    /// ```
    /// use usher_store::{Limits, Store};
    /// let store = Store::new("127.0.0.1:7000".parse().unwrap(), Limits::default());
    /// ```
    pub fn new(address: SocketAddrV4, limits: Limits) -> Self {
        let client = RetryClient::new(address, limits);
        Self { client }
    }

    /// Returns a random id for a write.
    ///
    /// ```
    /// use usher_store::{Limits, Store};
    /// let store = Store::new("127.0.0.1:7000".parse().unwrap(), Limits::default());
    /// assert_ne!(store.write_id(), store.write_id());
    /// ```
    pub fn write_id(&self) -> WriteId {
        self.client.write_id()
    }

    /// Reads one object, which may be a tombstone; `None` if it never existed.
    ///
    /// # Errors
    /// `MU-3001`, `MU-3005`, `MU-3006` or `MU-3007`.
    ///
    /// ```no_run
    /// # async_std::task::block_on(async {
    /// # let store = usher_store::Store::new("127.0.0.1:7000".parse().unwrap(), Default::default());
    /// let object = store.get(&"profile/fast".parse().unwrap()).await?;
    /// # Ok::<(), usher_store::StoreError>(())
    /// # }).unwrap();
    /// ```
    pub async fn get(&self, key: &ObjectKey) -> Result<Option<Object>, StoreError> {
        let stored = self.client.get(key).await?;
        stored.map(StoredObject::object).transpose()
    }

    /// Reads all objects changed after a version, of one kind or of all kinds.
    ///
    /// # Errors
    /// `MU-3001`, `MU-3005` or `MU-3006`.
    ///
    /// ```no_run
    /// # async_std::task::block_on(async {
    /// # let store = usher_store::Store::new("127.0.0.1:7000".parse().unwrap(), Default::default());
    /// let batch = store.list(None, Default::default()).await?;
    /// # Ok::<(), usher_store::StoreError>(())
    /// # }).unwrap();
    /// ```
    pub async fn list(&self, kind: Option<Kind>, since: Version) -> Result<Batch, StoreError> {
        self.watch(kind, since, Span::ZERO).await
    }

    /// Like `list`, but waits up to `wait` for a change if there is none yet.
    ///
    /// # Errors
    /// `MU-3001`, `MU-3005` or `MU-3006`.
    ///
    /// ```no_run
    /// # async_std::task::block_on(async {
    /// # let store = usher_store::Store::new("127.0.0.1:7000".parse().unwrap(), Default::default());
    /// let wait = usher_types::Span::from_secs(30);
    /// let batch = store.watch(None, Default::default(), wait).await?;
    /// # Ok::<(), usher_store::StoreError>(())
    /// # }).unwrap();
    /// ```
    pub async fn watch(
        &self,
        kind: Option<Kind>,
        since: Version,
        wait: Span,
    ) -> Result<Batch, StoreError> {
        let mut batch = self.client.since(since, wait).await?;
        if let Some(kind) = kind {
            batch.objects.retain(|object| object.kind == kind);
        }
        Ok(batch)
    }

    /// Creates or replaces an object, if the condition holds.
    ///
    /// # Errors
    /// See `write`.
    ///
    /// ```no_run
    /// use usher_config::Condition;
    /// # async_std::task::block_on(async {
    /// # let store = usher_store::Store::new("127.0.0.1:7000".parse().unwrap(), Default::default());
    /// let value = usher_types::Profile::default().into();
    /// store.put("profile/fast".parse().unwrap(), Condition::Absent, value).await?;
    /// # Ok::<(), usher_store::StoreError>(())
    /// # }).unwrap();
    /// ```
    pub async fn put(
        &self,
        key: ObjectKey,
        condition: Condition,
        value: Value,
    ) -> Result<Version, StoreError> {
        let value = Some(value);
        self.write(Change {
            key,
            condition,
            value,
        })
        .await
    }

    /// Deletes an object, if it is still at the version.
    ///
    /// # Errors
    /// See `write`.
    ///
    /// ```no_run
    /// # async_std::task::block_on(async {
    /// # let store = usher_store::Store::new("127.0.0.1:7000".parse().unwrap(), Default::default());
    /// let version = usher_types::Version::new(4);
    /// store.delete("profile/fast".parse().unwrap(), version).await?;
    /// # Ok::<(), usher_store::StoreError>(())
    /// # }).unwrap();
    /// ```
    pub async fn delete(&self, key: ObjectKey, version: Version) -> Result<Version, StoreError> {
        let condition = Condition::Version(version);
        let value = None;
        self.write(Change {
            key,
            condition,
            value,
        })
        .await
    }

    /// Makes a change under a new random write id.
    ///
    /// # Errors
    /// `MU-3001` to `MU-3006`. After `MU-3003` the change may have taken effect; after the others it
    /// has not.
    ///
    /// ```no_run
    /// # async_std::task::block_on(async {
    /// # let store = usher_store::Store::new("127.0.0.1:7000".parse().unwrap(), Default::default());
    /// # let key = "profile/fast".parse().unwrap();
    /// # let condition = usher_config::Condition::Absent;
    /// # let value = Some(usher_types::Profile::default().into());
    /// store.write(usher_config::Change { key, condition, value }).await?;
    /// # Ok::<(), usher_store::StoreError>(())
    /// # }).unwrap();
    /// ```
    pub async fn write(&self, change: Change) -> Result<Version, StoreError> {
        let id = self.write_id();
        self.write_as(Write { id, change }).await
    }

    /// Makes a change under a given write id.
    ///
    /// # Errors
    /// See `write`.
    ///
    /// ```no_run
    /// # async_std::task::block_on(async {
    /// # let store = usher_store::Store::new("127.0.0.1:7000".parse().unwrap(), Default::default());
    /// # let key = "profile/fast".parse().unwrap();
    /// # let condition = usher_config::Condition::Absent;
    /// # let change = usher_config::Change { key, condition, value: None };
    /// let id = store.write_id();
    /// store.write_as(usher_config::Write { id, change }).await?;
    /// # Ok::<(), usher_store::StoreError>(())
    /// # }).unwrap();
    /// ```
    pub async fn write_as(&self, write: Write) -> Result<Version, StoreError> {
        self.client.write(write).await
    }
}
